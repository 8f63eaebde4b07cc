"""Decisions about calls: state machines without clocks or I/O."""
