"""Builds views, targets and tasks for the tests of routing, dispatch and quarantine."""

from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.serving.dispatch import Dispatcher
from geraniumtrack.coordination.serving.queues import Task
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.state.records import DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.view import ConfigView


def make_view(
    *, teams, targets=4, pool="proofs", max_unavailable=2, max_length=100, data_centres=("dc1",)
):
    """Builds a view with one pool, a queue of the same name, and targets in two racks of dc1.

    Args:
        teams: Share of each team.
        targets: Number of targets.
        pool: Name of the pool.
        max_unavailable: Availability budget of the pool.
        max_length: Length limit of the queue.
        data_centres: Names of the data centres.
    """
    view = ConfigView()
    view.version = 1
    view.sections["data_centres"] = {name: DataCentre(name) for name in data_centres}
    view.sections["pools"] = {pool: Pool(pool, max_unavailable)}
    view.sections["queues"] = {pool: Queue(pool, pool, max_length=max_length)}
    view.sections["teams"] = {name: Team(name, share, 1000) for name, share in teams.items()}
    view.sections["instances"] = {
        f"t{i}": Instance(f"t{i}", pool, "dc1", f"r{i % 2}") for i in range(targets)
    }
    return view


def announce_all(view, table, now, *, slots=8):
    """Announces every instance of the view as a target that is alive."""
    for i, name in enumerate(view.sections["instances"]):
        rack = view.instance(name).rack
        announcement = Announcement(name, "dc1", rack, f"127.0.0.1:{9000 + i}", "", slots, 64, 1)
        table.announce(announcement, now)


def make_dispatcher(view, *, now=0.0, slots=8, **options):
    """Returns a dispatcher of dc1, and the table with its targets, which are announced."""
    table = TargetTable()
    announce_all(view, table, now, slots=slots)
    return Dispatcher(data_centre="dc1", view=view, targets=table, **options), table


_task_numbers = iter(range(10**9))


def make_task(team, *, urgency="normal", pool="proofs", now=0.0, timeout_s=100.0, idempotent=True):
    """Returns a task with an id that no other task has."""
    task_id = f"task-{next(_task_numbers)}"
    submit = Submit(
        task_id, task_id, team, pool, urgency, idempotent, timeout_s, "POST", "", "", b"", b""
    )
    return Task(submit, pool, now + timeout_s, now)
