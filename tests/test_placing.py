"""Outcome of a request when links to dispatchers are lost or a placement failed."""

from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import Mock

from policy_support import make_task, make_view
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.coordination.entries.peers import KnownEntry
from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.serving.execution import Execution, refusal
from geraniumtrack.coordination.serving.request_service import RequestService
from geraniumtrack.coordination.serving.routing import MAX_HOPS
from geraniumtrack.errors import LinkUnavailable
from geraniumtrack.protocol.messages import Answer, Gossip, PoolLoad

DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4", "dc5")
LOAD = PoolLoad(slots=8, running=0, queued=0, wait_ms=0, run_time_ms=100)


def route_request(answers, *, idempotent=False):
    """Routes a request from dc1, which has no targets; returns the copies that were forwarded.

    Args:
        answers: Iterator over functions, each of which returns the reply to one forwarded copy.
        idempotent: Whether the request is idempotent.
    """
    cfg = SimpleNamespace(name="e1a", data_centre="dc1", entries=[])
    service = RequestService(
        Clock(),
        cfg=cfg,
        view=make_view(teams={"a": 1.0}, data_centres=DATA_CENTRES),
        targets=TargetTable(),
        controllers=Mock(),
        execution=Mock(),
    )
    entries = []
    for name in DATA_CENTRES[1:]:
        gossip = Gossip(f"e-{name}", "s", name, 1, 1, True, {"proofs": LOAD})
        entries.append(KnownEntry(gossip.entry, name, 0.0, gossip))
    service.peers = Mock()
    service.peers.table.all.return_value = service.peers.table.live.return_value = entries
    for entry in entries:
        service.handle_gossip(entry.gossip)
    forwarded = []
    link = service.peers.link.return_value
    link.request.side_effect = lambda body, timeout_s: forwarded.append(body) or next(answers)()
    service.dispatch_here = Mock(side_effect=lambda submit: succeed(None))
    service.submit(replace(make_task("a", idempotent=idempotent).submit, generated=True))
    return forwarded


def fail_with_lost_link():
    return fail(LinkUnavailable("the link closed", remedy="retry"))


def test_copy_sent_after_a_lost_link_is_not_marked_as_the_only_copy():
    """Guards against a "not run" refusal of the second copy while the first one runs.

    The dispatcher behind the lost link may hold the first copy, so a refusal must close the claim.
    """
    answer = Answer("id", 200, "", b"", "ran")
    first, second = route_request(iter([fail_with_lost_link, lambda: succeed(answer)]))
    assert (first.generated, second.generated) == (True, False)
    assert first.task_id == second.task_id


def test_request_is_forwarded_at_most_max_hops_times():
    """Guards against a request that is forwarded without end because each link is lost."""
    forwarded = route_request(iter([fail_with_lost_link] * 20))
    assert len(forwarded) == MAX_HOPS


def test_refusal_after_a_failed_placement_does_not_say_not_run():
    """Guards against "not run" at the deadline of a retried task that a target had started."""
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


def test_copy_of_an_idempotent_request_after_a_lost_link_is_marked_as_may_have_run():
    """Guards against "not run" from one dispatcher while another one may have run the request."""
    answer = Answer("id", 503, "", b"", "not_run", "queue_full", "full")
    first, second = route_request(
        iter([fail_with_lost_link, lambda: succeed(answer)]), idempotent=True
    )
    assert (first.may_have_run, second.may_have_run) == (False, True)
