"""Orders of operators that a frozen controller reads late, with real programs."""

from __future__ import annotations

import json
import re
import signal
import socket
import time

import pytest

from geraniumtrack.protocol.address import Address
from soak.programs import CONTROL_PORT, FIRST_PEER_PORT, Layout, Program
from tests.client_crowd import http_status
from tests.test_client_crowds import CONFIG, head, with_length

SUBNET = 95
START_TIMEOUT_S = 30.0
GIVE_UP_S = 1.0  # an operator then sends its order to another controller
FREEZE_S = 4.0
SETTLED_S = 3.0  # time in which the controller that was frozen finds the owner and calls it
PATH = "/evacuations/z1"


class Controllers:
    """Three controllers.

    Args:
        layout: Loopback addresses.
        folder: Folder for settings, data and output of the processes.
    """

    def __init__(self, layout: Layout, folder) -> None:
        ips = [layout.ip(1, number) for number in range(3)]
        self.programs = [
            Program(
                name=f"core-{number}",
                role="core",
                ip=ip,
                zone=f"z{number + 1}",
                peer_port=FIRST_PEER_PORT,
                folder=folder / f"core-{number}",
                seeds=[f"{seed}:{CONTROL_PORT}" for seed in ips],
                machines=layout.machines,
            )
            for number, ip in enumerate(ips)
        ]

    def start(self) -> None:
        """Starts the processes, and waits until a configuration is in force."""
        for program in self.programs:
            program.start()
        document = with_length("PUT", "/config", json.dumps(CONFIG).encode())
        self.order(self.programs, document, timeout_s=START_TIMEOUT_S)

    def owner(self) -> Program:
        """Returns the controller that was elected last."""
        terms = {}
        for program in self.programs:
            found = re.findall(r"event=owner_elected .*?term=(\d+)", self.log(program))
            terms[max(map(int, found), default=0)] = program
        return terms[max(terms)]

    @staticmethod
    def log(program: Program) -> str:
        return (program.folder / "output.log").read_text()

    def orders_in_force(self) -> list[str]:
        """Returns the lines about evacuation orders that owners have carried out, in order."""
        lines = [line for item in self.programs for line in self.log(item).splitlines()]
        return sorted(line for line in lines if " event=evacuation " in line)

    @staticmethod
    def order(programs: list[Program], request: bytes, timeout_s: float = 10.0) -> None:
        """Sends an order to one controller after the other until it is acknowledged."""
        deadline = time.monotonic() + timeout_s
        while True:
            for program in programs:
                try:
                    if http_status(Address(program.ip, CONTROL_PORT), request) == 200:
                        return
                except OSError:
                    pass  # the port is not open yet
            assert time.monotonic() < deadline, "the order is not acknowledged"
            time.sleep(0.1)

    def close(self) -> None:
        for program in self.programs:
            program.kill()


@pytest.fixture
def controllers(tmp_path):
    """Runs three controllers."""
    layout = Layout.reserve(SUBNET)
    running = Controllers(layout, tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.close()
        layout.reservation.close()


@pytest.mark.parametrize(
    ("late", "frozen_owner", "connection_kept"),
    [
        ("POST", False, False),
        ("POST", True, True),
        ("DELETE", False, True),
        ("DELETE", True, False),
    ],
)
def test_a_frozen_controller_carries_out_no_order_that_was_replaced(
    controllers, late, frozen_owner, connection_kept
):
    """Guards against an evacuation that is in force though the operator has withdrawn it since.

    The same goes for a withdrawal that arrives after a newer evacuation.
    """
    newer = "DELETE" if late == "POST" else "POST"
    owner = controllers.owner()
    frozen = owner if frozen_owner else next(p for p in controllers.programs if p is not owner)
    others = [program for program in controllers.programs if program is not frozen]
    frozen.signal(signal.SIGSTOP)
    wakes_at = time.monotonic() + FREEZE_S
    with socket.create_connection((frozen.ip, CONTROL_PORT)) as conn:
        conn.sendall(head(late, PATH))
        time.sleep(GIVE_UP_S)
        if not connection_kept:
            conn.close()
        controllers.order(others, head(late, PATH))
        controllers.order(others, head(newer, PATH))
        time.sleep(max(wakes_at - time.monotonic(), 0.0))
        frozen.signal(signal.SIGCONT)
        time.sleep(SETTLED_S)
    assert f"out={newer == 'POST'} ".lower() in f"{controllers.orders_in_force()[-1]} ".lower()
