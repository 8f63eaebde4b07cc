"""Measurements with bounds from the stated targets: `python -m bench`."""
