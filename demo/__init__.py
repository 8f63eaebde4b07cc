"""The main job on one machine: `python -m demo`."""
