"""Placing of a request when links to dispatchers are lost."""

from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import Mock

from policy_support import make_task, make_view
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.coordination.execution import Execution, refusal
from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.coordination.peers import KnownEntry
from geraniumtrack.coordination.routing import MAX_HOPS
from geraniumtrack.coordination.serving import RequestService
from geraniumtrack.errors import ConnectionLost
from geraniumtrack.protocol.messages import Answer, Gossip, PoolLoad

DCS = ("dc1", "dc2", "dc3", "dc4", "dc5")
LOAD = PoolLoad(slots=8, running=0, queued=0, wait_ms=0, run_time_ms=100)


def place(answers, *, idempotent=False):
    """Places a request from dc1, which has no targets; returns the copies that were sent."""
    cfg = SimpleNamespace(name="e1a", data_centre="dc1", entries=[])
    serving = RequestService(
        Clock(),
        cfg=cfg,
        view=make_view(teams={"a": 1.0}, dcs=DCS),
        targets=TargetTable(),
        controllers=Mock(),
        execution=Mock(),
    )
    live = []
    for name in DCS[1:]:
        gossip = Gossip(f"e-{name}", "s", name, 1, 1, True, {"proofs": LOAD})
        live.append(KnownEntry(gossip.entry, name, 0.0, gossip))
    serving.peers = Mock()
    serving.peers.table.all.return_value = serving.peers.table.live.return_value = live
    for entry in live:
        serving.handle_gossip(entry.gossip)
    sent = []
    link = serving.peers.link.return_value
    link.request.side_effect = lambda body, timeout_s: sent.append(body) or next(answers)()
    serving.dispatch_here = Mock(side_effect=lambda submit: succeed(None))
    serving.submit(replace(make_task("a", idempotent=idempotent).submit, generated=True))
    return sent


def lost():
    return fail(ConnectionLost("the link closed", remedy="retry"))


def test_copy_sent_after_a_lost_link_is_not_taken_for_the_only_one():
    """Guards against a "not run" refusal of a copy while the first one runs."""
    answer = Answer("id", 200, "", b"", "ran")
    first, second = place(iter([lost, lambda: succeed(answer)]))
    assert (first.generated, second.generated) == (True, False)
    assert first.task_id == second.task_id


def test_request_is_not_forwarded_for_ever():
    """Guards against a request that goes round and round between entries."""
    sent = place(iter([lost] * 20))
    assert len(sent) == MAX_HOPS


def test_refusal_after_a_failed_placement_does_not_say_not_run():
    """Guards against "not run" at the deadline of a repeated task that a target had started."""
    execution = Execution(
        cfg=Mock(task_lease_s=10.0),
        clock=Clock(),
        controllers=Mock(),
        target_client=Mock(),
        make_request=Mock(),
        wall_clock=Mock(),
    )
    task = make_task("a", idempotent=True)
    refused = refusal(task.submit, 504, "deadline", "the deadline passed")
    assert execution.resolve_refusal(task, refused).result.run == "not_run"
    task.may_have_run = True
    assert execution.resolve_refusal(task, refused).result.run == "unknown"


def test_copy_of_idempotent_work_sent_after_a_lost_link_may_have_run():
    """Guards against "not run" by a second dispatcher while the first one may have run it."""
    answer = Answer("id", 503, "", b"", "not_run", "queue_full", "full")
    first, second = place(iter([lost, lambda: succeed(answer)]), idempotent=True)
    assert (first.may_have_run, second.may_have_run) == (False, True)
