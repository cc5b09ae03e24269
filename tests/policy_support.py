"""Builders of views, targets and tasks for the tests of dispatch decisions."""

from geraniumtrack.coordination.dispatch import Dispatcher
from geraniumtrack.coordination.membership import Announcement, TargetTable
from geraniumtrack.coordination.queues import Task
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.state.records import DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.view import ConfigView


def make_view(*, teams, targets=4, pool="proofs", max_unavailable=2, max_length=100, dcs=("dc1",)):
    view = ConfigView()
    view.version = 1
    view.sections["data_centres"] = {name: DataCentre(name) for name in dcs}
    view.sections["pools"] = {pool: Pool(pool, max_unavailable)}
    view.sections["queues"] = {pool: Queue(pool, pool, max_length=max_length)}
    view.sections["teams"] = {name: Team(name, share, 1000) for name, share in teams.items()}
    view.sections["instances"] = {
        f"t{i}": Instance(f"t{i}", pool, "dc1", f"r{i % 2}") for i in range(targets)
    }
    return view


def announce_all(view, table, now, *, slots=8):
    for i, name in enumerate(view.sections["instances"]):
        rack = view.instance(name).rack
        said = Announcement(name, "dc1", rack, f"127.0.0.1:{9000 + i}", "", slots, 64, 1)
        table.announce(said, now)


def make_dispatcher(view, *, now=0.0, slots=8, **options):
    table = TargetTable()
    announce_all(view, table, now, slots=slots)
    return Dispatcher(data_centre="dc1", view=view, targets=table, **options), table


_count = iter(range(10**9))


def make_task(team, *, urgency="normal", pool="proofs", now=0.0, timeout_s=100.0, idempotent=True):
    name = f"task-{next(_count)}"
    submit = Submit(
        name, name, team, pool, urgency, idempotent, timeout_s, "POST", "", "", b"", b""
    )
    return Task(submit, pool, now + timeout_s, now)
