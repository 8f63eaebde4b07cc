"""Examples at the end of the help of a command."""

__all__ = ["format_examples"]

# Keeps click from filling the lines of a paragraph.
_KEEP_LINES = "\b"


def format_examples(*lines: str) -> str:
    """Returns an epilog with one example on each line."""
    title = "Example:" if len(lines) == 1 else "Examples:"
    return "\n".join((_KEEP_LINES, title, *(f"  {line}" for line in lines)))
