"""Runs the command line with `python -m guavawing`."""

from guavawing.cli.main import main

if __name__ == "__main__":
    main()
