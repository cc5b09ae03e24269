"""Reboots by the fleet manager through a platform whose calls fail or time out."""

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from geraniumtrack.coordination.fleet.fleet_manager import FleetManager
from geraniumtrack.protocol.messages import RenewSession
from geraniumtrack.sentinels import Absent
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import unavailable
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.transport.platform_client import TIMEOUT_S, PlatformClient, PlatformInstance


class FakePlatform:
    """A platform that reboots at once.

    Attributes:
        mode: `prompt` answers at once. `fail` answers with an error and executes nothing. With
            `late`, reboots are executed, but all calls fail with a timeout.
        reboots: Idempotency keys of the executed reboots.
        drains: Number of drain requests.
    """

    def __init__(self, clock):
        self.clock, self.mode = clock, "prompt"
        self.reboots, self.drains = [], 0

    def state(self, name):
        last_reboot = self.reboots[-1] if self.reboots else ""
        return self._answer(PlatformInstance("running", last_reboot))

    def drain(self, name):
        self.drains += 1
        return self._answer({})

    def reboot(self, name, key):
        if self.mode != "fail" and key not in self.reboots:
            self.reboots.append(key)
        return self._answer({})

    def _answer(self, body):
        if self.mode == "fail":
            return succeed(Absent("platform_failed", "status 500"))
        if self.mode == "prompt":
            return succeed(body)
        fut = Deferred()
        self.clock.callLater(TIMEOUT_S, fut.callback, Absent("platform_failed", "timeout"))
        return fut


class Leader:
    """A fleet manager with one instance in maintenance, which an entry reports as idle."""

    def __init__(self):
        self.clock = Clock()
        self.state = ReplicatedState()
        self.platform = FakePlatform(self.clock)
        self.incarnation = 1
        fleet = {"data_centres": [{"name": "dc1"}], "pools": [{"name": "proofs"}]}
        self.state.apply(cmd.ApplyFleet("f", 0, fleet))
        self.state.apply(cmd.AdmitInstance("t1", "proofs", "dc1", "r1"))
        self.state.apply(cmd.OpenSession("e1", "s1", "dc1"))
        self.state.apply(cmd.PlanMaintenance("m", (), 0.0))
        self.elect()

    def elect(self):
        """Replaces the fleet manager by that of a new leader, with the same state and platform."""
        self.manager = FleetManager(
            state=lambda: self.state,
            propose=lambda command: succeed(self.state.apply(command)),
            platform=self.platform,
            wall_clock=self.clock.seconds,
        )

    def run(self, seconds):
        """Reports the instance once a second, and ticks the fleet manager four times as often."""
        for _ in range(seconds):
            idle = self.phase() in ("draining", "rebooting")
            target = (0.1, self.incarnation, 8, 0, idle, False, "dc1", "r1", False)
            reports = {"targets": {"t1": target}, "loads": {}}
            version = self.state.version
            renewal = RenewSession(
                entry="e1",
                session="s1",
                data_centre="dc1",
                version=version,
                sequence=1,
                opening=False,
                reports=reports,
            )
            self.manager.record_report(renewal, self.clock.seconds())
            for _ in range(4):
                self.clock.advance(0.25)
                self.manager.tick(self.clock.seconds())

    def phase(self):
        """Returns the maintenance phase of the instance."""
        return self.state.view["instances"]["t1"].maintenance


@pytest.mark.parametrize("mode", ["fail", "late"])
def test_maintenance_completes_after_calls_to_the_platform_failed_or_timed_out(mode):
    """Guards against an instance that stays in maintenance for ever or is rebooted twice.

    The reboot order is repeated with the same key until the platform confirms it.
    """
    leader = Leader()
    leader.platform.mode = mode
    leader.run(60)
    assert leader.phase() == "rebooting"
    assert list(unavailable(leader.state, "proofs")) == ["t1"]
    leader.platform.mode = "prompt"
    leader.run(45)
    assert len(leader.platform.reboots) == 1
    assert leader.phase() == "rebooting", "the target has announced no new incarnation"
    leader.incarnation = 2
    leader.run(5)
    assert leader.state.campaign.phase == "finished"
    assert unavailable(leader.state, "proofs") == {}


def test_new_leader_repeats_the_same_reboot_and_orders_no_other():
    """Guards against a second reboot: a new leader does not know whether its order was executed."""
    leader = Leader()
    leader.platform.mode = "late"
    leader.run(8)
    leader.elect()
    leader.run(60)
    assert len(leader.platform.reboots) == 1


def test_spontaneous_restart_does_not_return_an_instance_before_its_reboot():
    """Guards against a reboot of an instance that serves requests again after a restart."""
    leader = Leader()
    leader.platform.mode = "fail"
    leader.run(8)
    leader.incarnation = 2
    leader.run(5)
    assert leader.phase() == "rebooting"


def test_client_call_to_a_platform_that_hangs_times_out():
    """Guards against a leader that waits for ever for an answer of the platform."""
    clock = Clock()
    client = PlatformClient(clock, "http://127.0.0.1:1")

    class UnansweredHttp:
        def request(self, *_, **__):
            return Deferred()

    client._http = UnansweredHttp()
    results = []
    client.state("t1").addCallback(results.append)
    clock.advance(TIMEOUT_S + 1)
    assert results == [Absent("platform_failed")]


def test_client_reports_an_invalid_response_as_a_failure():
    client = PlatformClient(Clock(), "http://127.0.0.1:1")

    class Response:
        code = 200
        headers = Headers()
        length = 3

        def deliverBody(self, protocol):  # noqa: N802 - Twisted's name
            from twisted.internet.error import ConnectionDone
            from twisted.python.failure import Failure

            protocol.dataReceived(b"<a>")
            protocol.connectionLost(Failure(ConnectionDone()))

    class InvalidJsonHttp:
        def request(self, *_, **__):
            return succeed(Response())

    client._http = InvalidJsonHttp()
    results = []
    client.state("t1").addCallback(results.append)
    assert results == [Absent("platform_failed")]
