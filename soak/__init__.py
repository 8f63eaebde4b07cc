"""Randomized soak of the daemons on the stand-ins of the platform."""
