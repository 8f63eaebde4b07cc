"""The node daemon: tasks that own sockets and feed the decisions."""
