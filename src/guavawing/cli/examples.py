"""Examples in the help texts of commands."""

__all__ = ["format_examples"]

# Prevents click from rewrapping the lines of the paragraph.
_KEEP_LINES = "\b"


def format_examples(*lines: str) -> str:
    """Returns a help epilog with one example per line."""
    title = "Example:" if len(lines) == 1 else "Examples:"
    return "\n".join((_KEEP_LINES, title, *(f"  {line}" for line in lines)))
