"""Randomised soak test of sidecar daemons with platform stand-ins."""
