"""Golden files that record complete sessions.

`make golden` updates the files and prints the differences.
"""

import difflib
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent / "golden"
RENEW = "GUAVAWING_RENEW_GOLDEN"


def check_golden(name: str, text: str) -> None:
    """Compares a session with its golden file, or updates the file."""
    path = FOLDER / f"{name}.txt"
    expected = path.read_text() if path.exists() else ""
    if text == expected:
        return
    diff = "".join(
        difflib.unified_diff(
            expected.splitlines(keepends=True),
            text.splitlines(keepends=True),
            f"{name} (golden)",
            f"{name} (now)",
        )
    )
    if os.environ.get(RENEW):
        path.write_text(text)
        print(diff, file=sys.stderr)
        return
    raise AssertionError(f"the session differs:\n{diff}")
