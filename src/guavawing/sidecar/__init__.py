"""The sidecar daemon: socket I/O, timers and tasks around `traffic`."""
