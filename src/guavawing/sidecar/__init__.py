"""The daemon beside a target: tasks that own sockets and feed decisions."""
