"""Decisions about requests between services: pure machines, no sockets."""
