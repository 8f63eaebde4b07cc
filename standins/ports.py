"""Blocks of loopback ports that fleets of several processes don't share."""

import random
import socket

HOST = "127.0.0.1"
# Below the range from which the kernel picks ports of outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 400
UDP = socket.SOCK_DGRAM


class PortBlock:
    """A block of ports that belongs to one fleet on this machine.

    The first port of the block is kept bound as long as the block is in
    use, so that fleets of other processes take other blocks.
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

    def take(self, host: str = HOST) -> str:
        """Returns an address on which nothing listens."""
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
        """Gives the block back."""
        self._guard.close()
