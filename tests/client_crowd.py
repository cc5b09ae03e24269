"""Crowds of clients that send a lot and finish nothing, or read nothing, over real connections."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Iterator
from pathlib import Path

from geraniumtrack.protocol.address import Address

__all__ = ["crowd", "descriptors_in_use", "http_status", "peak_memory_mb"]

QUIET_S = 2.0  # a crowd that has sent nothing for this time has sent what the server reads
CROWD_TIME_S = 60.0
ANSWER_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 20.0
SEND_BYTES = 64 * 1024
KB_PER_MB = 1024


@contextlib.contextmanager
def crowd(address: Address, payloads: list[bytes], *, reads: bool = True) -> Iterator[None]:
    """Opens a connection for each payload, sends what the server accepts and keeps them open.

    Args:
        address: Address of the server.
        payloads: What each client sends.
        reads: Whether the clients read what the server sends.
    """
    with contextlib.ExitStack() as stack, selectors.DefaultSelector() as selector:
        clients = []
        for payload in payloads:
            client = stack.enter_context(socket.socket())
            client.settimeout(CONNECT_TIMEOUT_S)
            with contextlib.suppress(OSError):  # the server may turn clients away
                client.connect(address)
                client.setblocking(False)
                clients.append((client, memoryview(payload)))
        _send_all(selector, clients, reads)
        yield


def _send_all(selector: selectors.BaseSelector, clients: list, reads: bool) -> None:
    events = selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0)
    unsent = {}
    for client, payload in clients:
        unsent[client] = payload
        selector.register(client, events)
    deadline = time.monotonic() + CROWD_TIME_S
    progress_at = time.monotonic()
    while unsent and time.monotonic() < min(deadline, progress_at + QUIET_S):
        for key, ready in selector.select(0.1):
            client = key.fileobj
            try:
                if ready & selectors.EVENT_READ and not client.recv(SEND_BYTES):
                    raise ConnectionResetError
                if ready & selectors.EVENT_WRITE:
                    sent = client.send(unsent[client][:SEND_BYTES])
                    unsent[client] = unsent[client][sent:]
                    progress_at = time.monotonic()
            except BlockingIOError:
                continue
            except OSError:
                unsent[client] = b""
            if not unsent[client]:
                selector.unregister(client)
                del unsent[client]


def http_status(address: Address, request: bytes) -> int:
    """Sends one request on a new connection; returns the status, or 0 without a response."""
    with socket.create_connection(address, timeout=ANSWER_TIMEOUT_S) as client:
        client.sendall(request)
        try:
            head = client.recv(SEND_BYTES)
        except OSError:
            return 0
    return int(head.split()[1]) if head.startswith(b"HTTP/1.1 ") else 0


def peak_memory_mb(process_id: int) -> float:
    """Returns the largest resident size of a process so far, in MB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KB_PER_MB
    raise AssertionError(f"process {process_id} has ended")


def descriptors_in_use(process_id: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{process_id}/fd").iterdir()))
