"""Keys are taken away while a front has lost its path to the owner; see claim.txt."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from twisted.internet.defer import gatherResults, inlineCallbacks

from review.common.rig import QUEUE, Rig, configuration, pause, run_case
from soak.proxy import LinkFaults

KEYS = ("key-a", "key-b", "key-c")  # one of them is taken away during each cut
CLIENTS = 40  # for each key
CUT_S = 3.0
BETWEEN_S = 2.0
LAST_KEY = "key-z"
REVOKE_AFTER_S = 0.2
RUN_MS = 500
STEP = {"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": RUN_MS}
CUT = LinkFaults(hold_to_target=True, hold_from_target=True)


@inlineCallbacks
def play(rig: Rig) -> Any:
    """Plays the case; returns what broke the rule."""
    yield rig.open(tenants=[_tenant(KEYS)])
    owner = rig.leader()
    load = _Load(rig)
    clients = []
    for number, key in enumerate(KEYS):
        clients += [load.run(100 * number + client, key) for client in range(CLIENTS)]
        yield pause(BETWEEN_S)
        if rig.trouble:
            rig.note(f"cut  {rig.fronts[0].name} and {owner.name} can't reach each other")
            rig.front_proxies[owner.name].set_faults(CUT)
        yield pause(REVOKE_AFTER_S)
        left = [_tenant((*KEYS[number + 1 :], LAST_KEY))]
        newer = configuration(tenants=left, version=number + 2)
        rig.note(f"plan {key} is taken away")
        yield rig.wait_for(lambda c=newer: rig.put_config(c), "the configuration", 10.0)
        yield pause(CUT_S - REVOKE_AFTER_S)
        if rig.trouble:
            rig.note("cut  ends")
        rig.front_proxies[owner.name].set_faults(LinkFaults())
    load.stopped = True
    yield gatherResults(clients)
    yield pause(4.0)
    begun = {run.task.split(".")[0] for run in rig.history.runs}
    return [
        f"job {job}: its only attempt was answered {status}, and a task of it began"
        for job, status in load.rejected.items()
        if job in begun
    ]


def _tenant(keys: tuple[str, ...]) -> dict:
    return {**configuration()["tenants"][0], "apiKeys": list(keys)}


class _Load:
    """Clients that submit one job after the other at the first front, each job once."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.stopped = rig, False
        self.rejected: dict[str, int] = {}

    @inlineCallbacks
    def run(self, client: int, key: str) -> Any:
        """Submits jobs with a key until a call is rejected or the load is stopped."""
        body = {"spec": json.dumps({"ms": RUN_MS, "cpu": 500}), "steps": [STEP]}
        number = 0
        while not self.stopped:
            number += 1
            job = f"{client:08x}{number:08x}"
            status, _ = yield self.rig.call_front(
                "POST", f"/{QUEUE}/{job}", body, key=key, front=self.rig.fronts[0]
            )
            if status in (401, 403, 404, 429, 503):
                self.rejected[job] = status
            if status == 401:
                return
            yield pause(0.05)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, workers=8, proxied_front=True)
