"""A TCP forwarder for tests: it can cut a connection one way or both ways, and freeze it.

A cut discards what arrives, so that both ends see an open connection that has gone silent. A freeze
holds it back and delivers it later. New connections are accepted throughout, as in a network that
loses packets beyond the first hop.
"""

from __future__ import annotations

import enum
import select
import socket
import threading

__all__ = ["Forwarder", "Way"]

POLL_S = 0.05
CHUNK_BYTES = 64 * 1024


class Way(enum.Enum):
    """What happens to bytes in one direction."""

    OPEN = "open"
    CUT = "cut"
    FROZEN = "frozen"


class Forwarder:
    """Forwards every connection to one port of this machine to another one.

    Args:
        port: Port to listen on; 0 for any free one, which is then in `port`.
        target: Port to forward to.
    """

    def __init__(self, port: int, target: int) -> None:
        self.to_target = Way.OPEN
        self.from_target = Way.OPEN
        self.bytes_to_target = 0
        self.bytes_from_target = 0
        self._target = target
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", port))
        self._listener.settimeout(POLL_S)
        self.port: int = self._listener.getsockname()[1]
        self._threads = [threading.Thread(target=self._accept, daemon=True)]
        self._threads[0].start()

    def stop(self) -> None:
        """Closes the port and all connections."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _accept(self) -> None:
        with self._listener:
            while not self._stopping.is_set():
                try:
                    near, _ = self._listener.accept()
                except TimeoutError:
                    continue
                thread = threading.Thread(target=self._forward, args=(near,), daemon=True)
                self._threads.append(thread)
                thread.start()

    def _forward(self, near: socket.socket) -> None:
        with near:
            try:
                far = socket.create_connection(("127.0.0.1", self._target), timeout=1.0)
            except OSError:
                return
            with far:
                near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                try:
                    while not self._stopping.is_set() and self._pass_on(near, far):
                        pass
                except OSError:
                    return

    def _pass_on(self, near: socket.socket, far: socket.socket) -> bool:
        ways = {near: (far, self.to_target), far: (near, self.from_target)}
        readable = [end for end, (_, way) in ways.items() if way is not Way.FROZEN]
        if not readable:
            self._stopping.wait(POLL_S)
        for end in select.select(readable, [], [], POLL_S)[0]:
            data = end.recv(CHUNK_BYTES)
            if not data:
                return False
            other, way = ways[end]
            if way is Way.OPEN:
                other.sendall(data)
                self._count(len(data), to_target=end is near)
        return True

    def _count(self, size: int, *, to_target: bool) -> None:
        if to_target:
            self.bytes_to_target += size
        else:
            self.bytes_from_target += size


if __name__ == "__main__":
    with socket.create_server(("127.0.0.1", 0)) as server:
        forwarder = Forwarder(0, server.getsockname()[1])
        print(forwarder.port)
        forwarder.stop()
