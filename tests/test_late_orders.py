"""Late copies of calls: bounds on their age, and orders that a newer one has replaced."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from geraniumtrack.jobs.calls.operator_orders import (
    END_OF_CONNECTION_DELAY_S,
    ORDER_LIFETIME_S,
    CallOrigin,
    OperatorOrders,
)
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.core import Core
from geraniumtrack.jobs.messages import (
    AnswerKind,
    EvacuationCall,
    JobAnswer,
    JobRequest,
    MaintenanceCall,
    SubmitCall,
)
from geraniumtrack.jobs.settings import CoreSettings
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.platform.caller_api import REPLY_MARGIN_S, CallerApi
from geraniumtrack.protocol.address import Identity
from geraniumtrack.protocol.codec import encode
from geraniumtrack.transport.arrival_clock import READ_BYTES, TICK_S, ArrivalClock, InputAge
from geraniumtrack.transport.connection_table import ConnectionLimits, ConnectionTable
from geraniumtrack.transport.http_connection import (
    ServerConnection,
    ServerContext,
)
from geraniumtrack.transport.http_message import Request
from geraniumtrack.transport.http_parser import HttpLimits
from geraniumtrack.transport.memory_limiter import MemoryLimiter
from tests.jobs_support import OwnerHarness, SlowCommits, config, queue

FREEZE_S = 4.0
ORDERS = [EvacuationCall("dc1", True), MaintenanceCall(1, ("m-1",), 20.0, 1)]
SUBMISSION = SubmitCall(JobRequest("h", "/proofs/1", ""), "x", (), 0, 0.0, 0.0)
GET = b"GET / HTTP/1.1\r\n\r\n"


def tick(clock: Clock, seconds: float) -> None:
    """Lets the event loop run for a time."""
    for _ in range(round(seconds / TICK_S)):
        clock.advance(TICK_S)


@pytest.mark.parametrize("frozen_before_tick", [False, True])
def test_input_read_after_a_freeze_may_be_as_old_as_the_freeze(frozen_before_tick):
    """Guards against an old order that is taken for new because a timer ran before it was read."""
    clock = Clock()
    arrivals = ArrivalClock(clock)
    tick(clock, 1.0)
    assert clock.seconds() - arrivals.arrived_after < 3 * TICK_S
    if frozen_before_tick:
        clock.advance(FREEZE_S)
    else:
        clock.rightNow += FREEZE_S  # the loop reads before it runs its timers
    assert clock.seconds() - arrivals.arrived_after >= FREEZE_S
    tick(clock, 3 * TICK_S)
    assert clock.seconds() - arrivals.arrived_after < 3 * TICK_S


class Connection:
    """A connection whose requests are recorded and not answered."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests: list[Request] = []
        context = ServerContext(
            reactor=self.clock,
            handler=self._handle,
            table=ConnectionTable("test", ConnectionLimits(), self.clock.seconds),
            turns=SimpleNamespace(parse=self._parse),
            in_progress=MemoryLimiter(100, 10**6),
            kept_headers={},
            arrivals=ArrivalClock(self.clock),
        )
        self.protocol = ServerConnection(context, HttpLimits())
        transport = StringTransport()
        transport.setTcpNoDelay = lambda _enabled: None
        self.protocol.makeConnection(transport)

    def _handle(self, request: Request) -> Deferred:
        self.requests.append(request)
        return Deferred()

    @staticmethod
    def _parse(conn: ServerConnection) -> None:
        while conn.parse_some():
            pass


def test_a_request_bounds_its_wait_and_knows_that_its_client_has_gone():
    """Guards against a request of a client that gave up long before, and against old ones."""
    conn = Connection()
    tick(conn.clock, 1.0)
    conn.protocol.dataReceived(GET)
    conn.clock.rightNow += FREEZE_S
    conn.protocol.dataReceived(GET)
    fresh, old = conn.requests
    assert fresh.max_waited_s < 3 * TICK_S < FREEZE_S <= old.max_waited_s
    assert old.arrived_after == old.at - old.max_waited_s
    assert not old.is_abandoned()
    conn.protocol.connectionLost()
    assert old.is_abandoned()


def test_input_beyond_one_read_may_be_as_old_as_the_read_before_it():
    """Guards against an order taken for new that waited behind other input of its connection."""
    conn = Connection()
    tick(conn.clock, 1.0)
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % READ_BYTES
    data = head + b"x" * READ_BYTES + GET
    conn.protocol.dataReceived(data[:READ_BYTES])
    tick(conn.clock, 2.0)
    conn.protocol.dataReceived(data[READ_BYTES:])
    assert conn.requests[-1].method == "GET"
    assert conn.requests[-1].max_waited_s >= 2.0


def test_input_may_be_as_old_as_the_pause_of_reading_before_it():
    """Guards against an order taken for new that waited while its connection was not read."""
    clock = Clock()
    age = InputAge(ArrivalClock(clock))
    tick(clock, 1.0)
    age.note_pause(clock.seconds())
    tick(clock, 2.0)
    age.note_read(1)
    assert clock.seconds() - age.arrived_after >= 2.0
    age.note_read(1)
    assert clock.seconds() - age.arrived_after < 3 * TICK_S


class Orders:
    """Orders at a controller that answers calls with `answers` in order."""

    def __init__(self, *answers: JobAnswer) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.answers = list(answers)
        self.calls: list = []
        self.abandoned = False
        self.revision = 3
        self._orders = OperatorOrders(self.clock, self._call, lambda: self.revision)

    def _call(self, call, *, timeout_s: float) -> Deferred:
        self.calls.append((call, timeout_s))
        return succeed(self.answers.pop(0))

    def carry_out(self, order, *, age_s: float = 0.0, abandoned: bool = False) -> JobAnswer:
        """Carries out an order; its client closes the connection right after it, or not at all."""
        origin = CallOrigin(self.clock.seconds() - age_s, lambda: self.abandoned)
        results = []
        self._orders.carry_out(order, origin).addCallback(results.append)
        self.abandoned = abandoned
        self.clock.advance(END_OF_CONNECTION_DELAY_S)
        return results[0]


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize(
    ("age_s", "abandoned"), [(FREEZE_S, False), (ORDER_LIFETIME_S, False), (0.0, True)]
)
def test_an_order_whose_caller_may_have_given_up_has_no_effect(order, age_s, abandoned):
    """Guards against an order in force that its operator replaced at another controller."""
    orders = Orders()
    assert orders.carry_out(order, age_s=age_s, abandoned=abandoned).kind == AnswerKind.NOT_READY
    assert orders.calls == []


@pytest.mark.parametrize("order", ORDERS)
def test_an_order_is_tried_no_longer_than_its_caller_waits(order):
    """Guards against a call that reaches the owner after its operator has gone elsewhere."""
    orders = Orders(JobAnswer(AnswerKind.OK))
    assert orders.carry_out(order, age_s=0.2).kind == AnswerKind.OK
    ((_, timeout_s),) = orders.calls
    assert timeout_s == pytest.approx(ORDER_LIFETIME_S - 0.2 - END_OF_CONNECTION_DELAY_S)


def test_an_order_of_a_waiting_caller_is_repeated_at_the_present_revision():
    """Guards against a refusal only because the controller that relays it is behind."""
    orders = Orders(JobAnswer(AnswerKind.OUTDATED, value=5), JobAnswer(AnswerKind.OK))
    assert orders.carry_out(ORDERS[0]).kind == AnswerKind.OK
    assert [call.revision for call, _ in orders.calls] == [3, 5]


class Operator:
    """Orders evacuations at the service of an owner."""

    def __init__(self, harness: OwnerHarness | None = None) -> None:
        self.harness = harness or OwnerHarness()
        self.harness.state.config = config(queue())
        self._service = JobService(
            state=lambda: self.harness.state,
            propose=self.harness.commit,
            owner=lambda: self.harness.owner,
            wall_clock=self.harness.clock.seconds,
        )

    @property
    def state(self) -> JobsState:
        return self.harness.state

    def call(self, out: bool, data_centre: str = "dc1") -> EvacuationCall:
        """Returns a call that is sent now."""
        return EvacuationCall(data_centre, out, self.state.evacuation_revision)

    def send(self, call: EvacuationCall) -> list[JobAnswer]:
        """Sends a call; returns its answer once there is one."""
        answers = []
        self._service.answer(call).addCallback(answers.append)
        return answers


@pytest.mark.parametrize("late", [True, False])
@pytest.mark.parametrize("acknowledged_before", [True, False])
def test_a_late_copy_of_an_order_does_not_undo_a_newer_one(late, acknowledged_before):
    """Guards against a relayed copy that stayed in a link's buffer, behind a partition.

    Without an acknowledged copy the newer order changes nothing, and must count all the same.
    """
    operator = Operator()
    operator.send(operator.call(not late))
    copy = operator.call(late)
    if acknowledged_before:
        assert operator.send(operator.call(late))[0].kind == AnswerKind.OK
    assert operator.send(operator.call(not late))[0].kind == AnswerKind.OK
    (answer,) = operator.send(copy)
    assert (answer.kind, answer.value) == (
        AnswerKind.OUTDATED,
        operator.state.evacuation_revision,
    )
    assert ("dc1" in operator.state.evacuated) == (not late)


def test_a_late_copy_has_no_effect_while_a_newer_order_is_committed():
    """Guards against a check that only looks at the state before the commit."""
    operator = Operator(SlowCommits())
    copy = operator.call(True)
    newer, late = operator.send(operator.call(False)), operator.send(copy)
    operator.harness.flush()
    assert (newer[0].kind, late[0].kind) == (AnswerKind.OK, AnswerKind.OUTDATED)
    assert operator.state.evacuated == set()


def test_the_revision_survives_a_snapshot_and_starts_at_0_in_an_earlier_one():
    """Guards against a late copy that is in force again after a restart."""
    operator = Operator()
    operator.send(operator.call(True))
    loaded = JobsState.load(encode(operator.state.capture()))
    assert (loaded.evacuation_revision, loaded.evacuated) == (1, {"dc1"})
    earlier = operator.state.capture()
    del earlier["evacuation_revision"]
    assert JobsState.load(encode(earlier)).evacuation_revision == 0


@pytest.mark.parametrize(("waited_s", "left_s"), [(0.2, 3.0), (1.0, 2.0), (FREEZE_S, -1.0)])
def test_an_entry_counts_the_time_that_it_stood_still_against_a_call(waited_s, left_s):
    """Guards against a job that an entry submits after its caller has been refused elsewhere."""
    timeouts = []

    def record_call(_call, *, timeout_s):
        timeouts.append(timeout_s)
        return succeed(JobAnswer(AnswerKind.NOT_READY))

    api = CallerApi(Clock(), SimpleNamespace(call=record_call))
    body = b'{"spec":"x","steps":[{"count":1,"cpu":1000}]}'
    request = Request("POST", "/q/5c0e7a21d94b36f8", {}, body, 10.0, waited_s)
    api.handle(request)
    assert timeouts == [pytest.approx(left_s - REPLY_MARGIN_S)]


@pytest.mark.parametrize("call", [SUBMISSION, ORDERS[0]])
@pytest.mark.parametrize(("frozen_s", "relayed"), [(0.3, True), (FREEZE_S, False)])
def test_a_controller_that_was_frozen_relays_no_call_whose_sender_has_given_up(
    tmp_path, call, frozen_s, relayed
):
    """Guards against a job that is accepted after its caller was refused elsewhere."""
    clock = Clock()
    cfg = CoreSettings(
        name="c1",
        data_centre="dc1",
        peer_port=1,
        seeds=("c1", "c2"),
        secret=b"s",
        data_folder=tmp_path,
        bootstrap=True,
        max_voters=3,
        instance_orders_fenced=True,
    )
    core = Core(clock, cfg, port=None, machines=None)
    calls, replies = [], []
    core._client = SimpleNamespace(forward=lambda body: calls.append(body) or Deferred())
    tick(clock, 1.0)
    clock.rightNow += frozen_s
    link = SimpleNamespace(peer=Identity("e1", "entry", "dc1"))
    core._handle_link(link, call, replies.append, "")
    assert calls == ([call] if relayed else [])
    assert [reply.kind for reply in replies] == ([] if relayed else [AnswerKind.NOT_OWNER])
