"""Commands that change state."""
