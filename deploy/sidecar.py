"""Starts the sidecar daemon from a checkout of this repository."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from guavawing.platform.settings import find_settings_file
from guavawing.sidecar.program import run_sidecar

if __name__ == "__main__":
    run_sidecar(find_settings_file())
