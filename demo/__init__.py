"""Demo of a whole mesh on one machine: `python -m demo`."""
