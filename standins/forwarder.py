"""A TCP forwarder for tests that can cut or freeze its connections in one or both directions.

A cut discards the data of a direction: its receiver sees an open connection on which nothing
arrives. A freeze holds the data back and delivers it later. If an end closes the connection, the
other end is closed too; a freeze of the data from the closing end can delay this. The forwarder
accepts new connections all the time, as in a network that loses packets beyond the first hop.
"""

from __future__ import annotations

import enum
import select
import socket
import threading

__all__ = ["Forwarder", "LinkState"]

POLL_INTERVAL_S = 0.05
CHUNK_BYTES = 64 * 1024


class LinkState(enum.Enum):
    """State of one direction of the forwarded connections.

    Attributes:
        OPEN: Data is forwarded.
        CUT: Data is discarded.
        FROZEN: Data is left in the socket buffers until the direction is open again.
    """

    OPEN = "open"
    CUT = "cut"
    FROZEN = "frozen"


class Forwarder:
    """Forwards every connection from one port on the loopback address to another.

    Args:
        port: Port to listen on; 0 for any free port.
        target: Port to forward to.

    Attributes:
        port: Port that the forwarder listens on.
        to_target: State of the direction to the target.
        from_target: State of the direction from the target.
        bytes_to_target: Bytes forwarded to the target.
        bytes_from_target: Bytes forwarded from the target.
    """

    def __init__(self, port: int, target: int) -> None:
        self.to_target = LinkState.OPEN
        self.from_target = LinkState.OPEN
        self.bytes_to_target = 0
        self.bytes_from_target = 0
        self._target = target
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", port))
        self._listener.settimeout(POLL_INTERVAL_S)
        self.port: int = self._listener.getsockname()[1]
        self._threads = [threading.Thread(target=self._accept, daemon=True)]
        self._threads[0].start()

    def stop(self) -> None:
        """Closes the listening port and all connections."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _accept(self) -> None:
        with self._listener:
            while not self._stopping.is_set():
                try:
                    client, _ = self._listener.accept()
                except TimeoutError:
                    continue
                thread = threading.Thread(target=self._forward, args=(client,), daemon=True)
                self._threads.append(thread)
                thread.start()

    def _forward(self, client: socket.socket) -> None:
        with client:
            try:
                upstream = socket.create_connection(("127.0.0.1", self._target), timeout=1.0)
            except OSError:
                return
            with upstream:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                try:
                    while not self._stopping.is_set() and self._relay(client, upstream):
                        pass
                except OSError:
                    return

    def _relay(self, client: socket.socket, upstream: socket.socket) -> bool:
        directions = {client: (upstream, self.to_target), upstream: (client, self.from_target)}
        readable = [
            sock for sock, (_, state) in directions.items() if state is not LinkState.FROZEN
        ]
        if not readable:
            self._stopping.wait(POLL_INTERVAL_S)
        for sock in select.select(readable, [], [], POLL_INTERVAL_S)[0]:
            data = sock.recv(CHUNK_BYTES)
            if not data:
                return False
            peer, state = directions[sock]
            if state is LinkState.OPEN:
                peer.sendall(data)
                self._count_bytes(len(data), to_target=sock is client)
        return True

    def _count_bytes(self, size: int, *, to_target: bool) -> None:
        if to_target:
            self.bytes_to_target += size
        else:
            self.bytes_from_target += size


if __name__ == "__main__":
    with socket.create_server(("127.0.0.1", 0)) as server:
        forwarder = Forwarder(0, server.getsockname()[1])
        print(forwarder.port)
        forwarder.stop()
