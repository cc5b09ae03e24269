"""Allotments: the sum rule under late messages, fairness, and few commands."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from geraniumtrack.coordination.allotments import Renewal, max_min_shares, plan_allotments
from geraniumtrack.coordination.entry_allotments import EntryAllotments
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.replicated import ReplicatedState

ENTRIES = ("e1", "e2", "e3")
LIMIT = 7


def fleet(limit):
    return {"teams": [{"name": "acme", "limit": limit, "share": 1.0}]}


def opened_state(limit=LIMIT):
    state = ReplicatedState()
    assert state.apply(cmd.ApplyFleet("op", 0, fleet(limit))).ok
    for name in ENTRIES:
        assert state.apply(cmd.OpenSession(name, f"s-{name}", "dc1")).ok
    return state


class LateMessages(RuleBasedStateMachine):
    """Renewals, decisions and replies arrive late, in any order, or twice.

    Guards against more running tasks than the limit, in particular when a late copy of a renewal
    shrinks an allotment after the entry raised its ceiling again.
    """

    def __init__(self):
        super().__init__()
        self.state = opened_state()
        self.now = 0.0
        self.entry_allotments = {name: EntryAllotments(task_lease_s=10.0) for name in ENTRIES}
        self.running = dict.fromkeys(ENTRIES, 0)
        self.queued = dict.fromkeys(ENTRIES, 0)
        self.renewals = []
        self.proposals = []
        self.replies = []

    def decide(self, renewals):
        return plan_allotments(
            "acme",
            limit=self.state.view["teams"]["acme"].limit,
            held=self.state.allotments.get("acme", {}),
            sequences={e: of.get("acme", 0) for e, of in self.state.sequences.items()},
            renewals=renewals,
        )

    @rule(name=st.sampled_from(ENTRIES), count=st.integers(0, 9))
    def queue(self, name, count):
        self.queued[name] = count

    @rule(name=st.sampled_from(ENTRIES[:2]), count=st.sampled_from([0, 2, 7]))
    def round_trip(self, name, count):
        """One exchange without delay, with new wishes and all tasks done."""
        self.running[name], self.queued[name] = 0, count
        self.renew(name, 5.0)
        plan = self.decide([self.renewals[-1]])
        for change in plan.changes:
            self.state.apply(change)
        self.proposals += plan.changes
        self.replies.append((name, self.committed(name), {}))
        self.entry_allotments[name].update(self.committed(name), {})
        self.start_all(name)

    @rule(name=st.sampled_from(ENTRIES[:2]))
    def idle(self, name):
        """Two windows without work, so that the entry offers to give slots back."""
        self.running[name] = self.queued[name] = 0
        self.renew(name, 5.0)
        self.renew(name, 5.0)

    def committed(self, name):
        return {
            "acme": (
                self.state.allotments.get("acme", {}).get(name, 0),
                self.state.sequences.get(name, {}).get("acme", 0),
            )
        }

    @rule(name=st.sampled_from(ENTRIES), passed=st.sampled_from([0.01, 1.0, 5.0]))
    def renew(self, name, passed):
        self.now += passed
        running = self.running[name]
        wanted = {"acme": running + self.queued[name]} if running + self.queued[name] else {}
        request = self.entry_allotments[name].build_request(
            wanted=wanted, running={"acme": running}, now=self.now
        )
        self.renewals.append(Renewal(name, f"s-{name}", request.sequence, wanted, request.ceilings))

    @precondition(lambda self: self.renewals)
    @rule(data=st.data())
    def leader_decides(self, data):
        """Any leader, even an old one, decides on any renewals ever sent."""
        chosen = {}
        for _ in range(data.draw(st.integers(1, 3))):
            renewal = data.draw(st.sampled_from(self.renewals[-12:]))
            chosen[renewal.entry] = renewal
        plan = self.decide(list(chosen.values()))
        self.proposals += plan.changes
        for name, part in plan.reclaim.items():
            self.replies.append((name, {}, {"acme": part}))

    @precondition(lambda self: self.proposals)
    @rule(data=st.data(), late=st.booleans())
    def commit(self, data, late):
        position = data.draw(st.integers(0, len(self.proposals) - 1)) if late else -1
        command = self.proposals[position]
        self.state.apply(command)
        self.replies.append((command.entry, self.committed(command.entry), {}))

    @precondition(lambda self: self.replies)
    @rule(data=st.data(), late=st.booleans())
    def reply(self, data, late):
        position = data.draw(st.integers(0, len(self.replies) - 1)) if late else -1
        name, held, reclaim = self.replies[position]
        self.entry_allotments[name].update(held, reclaim)

    @rule(name=st.sampled_from(ENTRIES))
    def start_all(self, name):
        while self.queued[name] and self.running[name] < self.entry_allotments[name].run_limits(
            self.now
        ).get("acme", 0):
            self.queued[name] -= 1
            self.running[name] += 1

    @rule(name=st.sampled_from(ENTRIES))
    def finish_one(self, name):
        self.running[name] = max(0, self.running[name] - 1)

    @invariant()
    def runs_within_committed_allotment(self):
        held = self.state.allotments.get("acme", {})
        for name in ENTRIES:
            assert self.running[name] <= held.get(name, 0)
        assert sum(held.values()) <= LIMIT


LateMessages.TestCase.settings = settings(max_examples=400, stateful_step_count=40)
TestLateMessages = LateMessages.TestCase


def test_late_copy_of_a_renewal_does_not_shrink_a_raised_allotment():
    """Guards against the race of a lowered ceiling, a new wish, and a leader that was frozen."""
    state = opened_state()
    entry_allotments = EntryAllotments(task_lease_s=10.0)

    def exchange(wanted, now):
        request = entry_allotments.build_request(wanted={"acme": wanted}, running={}, now=now)
        renewal = Renewal("e1", "s-e1", request.sequence, request.wanted, request.ceilings)
        held = state.allotments.get("acme", {})
        sequences = {e: of.get("acme", 0) for e, of in state.sequences.items()}
        return plan_allotments(
            "acme", limit=LIMIT, held=held, sequences=sequences, renewals=[renewal]
        ).changes

    def commit(changes):
        results = [state.apply(change) for change in changes]
        sequence = state.sequences["e1"]["acme"]
        entry_allotments.update({"acme": (state.allotments["acme"]["e1"], sequence)}, {})
        return results

    commit(exchange(6, 0.0))
    assert entry_allotments.run_limits(0.0)["acme"] == LIMIT
    exchange(0, 10.0)
    late = exchange(0, 20.0)  # decided by a leader that is frozen before it commits
    assert late[0].amount == entry_allotments.run_limits(20.0)["acme"] == 0
    commit(exchange(6, 20.1))
    assert entry_allotments.run_limits(20.1)["acme"] == LIMIT
    results = commit(late)
    assert [result.error for result in results] == ["stale_renewal"]
    assert state.allotments["acme"]["e1"] == LIMIT


def settle(state, entries, wants, steps, running=None, now=0.0, waiting=()):
    """Runs renewals without delay; returns the number of commands committed."""
    commands = 0
    said = {}
    running = running if running is not None else dict.fromkeys(entries, 0)
    for _step in range(steps):
        for name, entry_allotments in entries.items():
            now += 0.05
            want = {"acme": wants[name]} if wants[name] else {}
            request = entry_allotments.build_request(
                wanted=want, running={"acme": running[name]}, now=now
            )
            said[name] = Renewal(name, f"s-{name}", request.sequence, want, request.ceilings)
            for _ in range(4):
                plan = plan_allotments(
                    "acme",
                    limit=state.view["teams"]["acme"].limit,
                    held=state.allotments.get("acme", {}),
                    sequences={e: of.get("acme", 0) for e, of in state.sequences.items()},
                    renewals=list(said.values()),
                    waiting=waiting,
                )
                for change in plan.changes:
                    assert state.apply(change).ok
                    commands += 1
                for other, other_allotments in entries.items():
                    held = {
                        "acme": (
                            state.allotments.get("acme", {}).get(other, 0),
                            state.sequences.get(other, {}).get("acme", 0),
                        )
                    }
                    part = plan.reclaim.get(other)
                    other_allotments.update(held, {} if part is None else {"acme": part})
            cap = entry_allotments.run_limits(now).get("acme", 0)
            running[name] = min(wants[name], cap)  # tasks are short
    return commands


def test_entry_with_queued_work_gets_slots_while_another_holds_all():
    """Guards against an entry that starves because another one holds the whole limit."""
    state = opened_state()
    entries = {name: EntryAllotments(task_lease_s=10.0) for name in ENTRIES}
    settle(state, entries, {"e1": 50, "e2": 0, "e3": 0}, 3)
    assert state.allotments["acme"]["e1"] == LIMIT
    settle(state, entries, {"e1": 50, "e2": 50, "e3": 1}, 6, now=2.0)
    assert state.allotments["acme"] == {"e1": 3, "e2": 3, "e3": 1}


def test_team_that_moves_takes_the_whole_limit_along():
    """Guards against hoarding: slots that a burst left behind in the first data centre."""
    state = opened_state()
    entries = {name: EntryAllotments(task_lease_s=10.0) for name in ENTRIES}
    settle(state, entries, {"e1": 50, "e2": 0, "e3": 0}, 3)
    settle(state, entries, {"e1": 0, "e2": 50, "e3": 0}, 3, now=1.0)
    assert state.allotments["acme"]["e2"] == LIMIT


def test_lowered_limit_is_reclaimed():
    """Guards against an entry that goes on starting tasks above a lowered limit."""
    state = opened_state()
    entries = {name: EntryAllotments(task_lease_s=10.0) for name in ENTRIES}
    settle(state, entries, {"e1": 50, "e2": 50, "e3": 0}, 3)
    assert state.apply(cmd.ApplyFleet("op2", state.version, fleet(2))).ok
    settle(state, entries, {"e1": 50, "e2": 50, "e3": 0}, 3, now=1.0)
    assert sum(state.allotments["acme"].values()) == 2
    assert entries["e1"].run_limits(3.0)["acme"] == entries["e2"].run_limits(3.0)["acme"] == 1


def test_busy_entries_commit_few_changes():
    """Guards against a command per request: 600 renewals with wishes that vary by a third."""
    state = opened_state(40)
    entries = {name: EntryAllotments(task_lease_s=10.0) for name in ENTRIES}
    rng = random.Random(5)
    commands, now, running = 0, 0.0, dict.fromkeys(ENTRIES, 0)
    for _ in range(200):
        wants = {name: rng.randint(8, 12) for name in ENTRIES}
        running = {name: min(running[name], wants[name]) for name in ENTRIES}
        commands += settle(state, entries, wants, 1, running, now)
        now += 0.15
    assert commands < 30


def test_growing_entry_commits_few_changes():
    """Guards against a command per request while one entry's demand grows by single requests."""
    state = opened_state(40)
    entries = {"e1": EntryAllotments(task_lease_s=10.0)}
    commands = sum(settle(state, entries, {"e1": n}, 1, now=n / 10) for n in range(1, 31))
    assert state.allotments["acme"]["e1"] >= 30
    assert commands <= 8


def test_parts_are_fair_and_whole():
    assert max_min_shares(10, {"a": 2, "b": 9, "c": 9}) == {"a": 2, "b": 4, "c": 4}
    assert max_min_shares(2, {"a": 5, "b": 5, "c": 5}, first=["c"]) == {"a": 1, "b": 0, "c": 1}
