"""Small stand-ins for the systems around guavawing, for tests and demos."""
