"""Commands: what changes state."""
