"""The node daemon: tasks that do I/O and drive the decision logic."""
