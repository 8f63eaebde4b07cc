"""Decisions about requests between services: state machines without I/O."""
