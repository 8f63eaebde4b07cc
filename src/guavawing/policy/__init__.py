"""Decisions about calls: pure state machines without clocks and sockets."""
