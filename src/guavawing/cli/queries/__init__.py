"""Queries: what only reads."""
