"""Benchmarks with bounds from stated objectives: `python -m bench`."""
