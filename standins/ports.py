"""Allocation of loopback ports, disjoint between concurrent test processes."""

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral port range of the kernel.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 400
UDP = socket.SOCK_DGRAM


class PortBlock:
    """Block of ports reserved for one fleet on this machine.

    The first port stays bound while the block is in use, so that other
    processes reserve other blocks.

    Raises:
        RuntimeError: If every block is in use.
    """

    def __init__(self) -> None:
        starts = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
        random.Random().shuffle(starts)
        for start in starts:
            guard = socket.socket()
            try:
                guard.bind((HOST, start))
            except OSError:
                guard.close()
                continue
            self._guard = guard
            self._ports = iter(range(start + 1, start + PORTS_PER_BLOCK))
            return
        raise RuntimeError("every block of ports is in use")

    def allocate(self, host: str = HOST) -> str:
        """Returns an unused address, free for TCP and UDP.

        Raises:
            RuntimeError: If the block has no free ports.
        """
        for port in self._ports:
            with socket.socket() as tcp, socket.socket(type=UDP) as udp:
                try:
                    tcp.bind((host, port))
                    udp.bind((host, port))
                except OSError:
                    continue
            return f"{host}:{port}"
        raise RuntimeError("the block has no free ports")

    def close(self) -> None:
        """Releases the block."""
        self._guard.close()
