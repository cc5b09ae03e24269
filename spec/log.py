"""The replicated log: elections, synced votes, append, commit, crash, disk loss, replacement.

A message is delivered in the step that sends it or never; a vote may be counted any time later.
What a replica writes before it answers is one step with the answer, because nothing can be seen
in between. Two things are seen before they are durable and are therefore modelled apart: the
entries that a leader sends before its own sync, and, in a mutant, votes.

Replicas 0, 1 and 2 are the first voters. Replica 3 is the new identity of replica 2: a learner with
an empty log. Replica 2 may lose its disk, and it may also go on running beside replica 3.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

FOLLOWER, CANDIDATE, LEADER, GONE = "follower", "candidate", "leader", "gone"
FIRST, WITHOUT, REPLACED = (0, 1, 2), (0, 1), (0, 1, 3)
NO_VOTE = -1


class Entry(NamedTuple):
    """A log entry; `voters` is empty unless it changes the membership."""

    term: int
    voters: tuple[int, ...] = ()


class Replica(NamedTuple):
    """A replica. `disk` is the term and vote that survive a crash, `synced` the length of the log
    that does. `granted` holds the votes of a candidate.
    """

    term: int = 0
    vote: int = NO_VOTE
    log: tuple[Entry, ...] = ()
    role: str = FOLLOWER
    granted: frozenset[int] = frozenset()
    synced: int = 0
    disk: tuple[int, int] = (0, NO_VOTE)

    @property
    def voters(self) -> tuple[int, ...]:
        """The latest membership in the log, committed or not."""
        return next((entry.voters for entry in reversed(self.log) if entry.voters), FIRST)

    def rank(self) -> tuple[int, int]:
        """What up-to-date logs are compared by."""
        return (self.log[-1].term if self.log else 0, len(self.log))

    def at_term(self, term: int, vote: int, *, durable: bool = True) -> Replica:
        """Returns a follower that has moved to a term."""
        disk = (term, vote) if durable else self.disk
        return self._replace(term=term, vote=vote, role=FOLLOWER, granted=frozenset(), disk=disk)


class State(NamedTuple):
    """All replicas, the entries ever committed, and whether two commits ever disagreed."""

    replicas: tuple[Replica, ...]
    committed: tuple[Entry, ...]
    disagreed: bool = False


@dataclass(frozen=True)
class Rules:
    """Bounds of the exploration and the mechanisms of the protocol."""

    max_term: int
    max_log: int
    membership: bool = False
    votes_synced: bool = True
    new_identity: bool = True
    two_steps: bool = True
    own_term: bool = True  # entries of earlier terms are committed only through one of the own
    appends: bool = True  # leaders append more than their first entry and membership changes


Step = tuple[str, State]


def transitions(rules: Rules, state: State) -> Iterator[Step]:
    """Yields every step that the rules allow."""
    for number, replica in enumerate(state.replicas):
        if replica.role == GONE:
            continue
        yield from _start_election(rules, state, number)
        yield from _crash(state, number)
        if rules.membership:
            yield from _lose_disk(rules, state, number)
        if replica.role == CANDIDATE:
            yield from _ask_for_votes(rules, state, number)
            yield from _win(rules, state, number)
        if replica.role == LEADER:
            yield from _append(rules, state, number)
            yield from _sync(state, number)
            yield from _replicate(state, number)
            yield from _commit(rules, state, number)


def _with(state: State, number: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[number] = replica
    return state._replace(replicas=tuple(replicas))


def _start_election(rules: Rules, state: State, number: int) -> Iterator[Step]:
    replica = state.replicas[number]
    if replica.term >= rules.max_term or replica.role == LEADER or number not in replica.voters:
        return
    moved = replica.at_term(replica.term + 1, number)
    candidate = moved._replace(role=CANDIDATE, granted=frozenset([number]))
    yield f"{number} starts an election", _with(state, number, candidate)


def _ask_for_votes(rules: Rules, state: State, number: int) -> Iterator[Step]:
    candidate = state.replicas[number]
    for other in candidate.voters:
        voter = state.replicas[other]
        if other in candidate.granted or voter.role == GONE or voter.term > candidate.term:
            continue
        if voter.term == candidate.term and voter.vote not in (NO_VOTE, number):
            continue
        if voter.rank() > candidate.rank():
            continue
        voted = voter.at_term(candidate.term, number, durable=rules.votes_synced)
        counted = candidate._replace(granted=candidate.granted | {other})
        yield f"{other} votes for {number}", _with(_with(state, other, voted), number, counted)


def _win(rules: Rules, state: State, number: int) -> Iterator[Step]:
    candidate = state.replicas[number]
    if not _majority(candidate.granted, candidate.voters) or len(candidate.log) >= rules.max_log:
        return
    log = (*candidate.log, Entry(candidate.term))
    leader = candidate._replace(role=LEADER, granted=frozenset(), log=log)
    yield f"{number} leads", _with(state, number, leader)


def _append(rules: Rules, state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    if len(leader.log) >= rules.max_log:
        return
    if rules.appends:
        log = (*leader.log, Entry(leader.term))
        yield f"{number} appends", _with(state, number, leader._replace(log=log))
    if not rules.membership or not _may_change_voters(state, leader):
        return
    step = {FIRST: WITHOUT if rules.two_steps else REPLACED, WITHOUT: REPLACED}
    after = step.get(leader.voters)
    caught_up = state.replicas[3].log[: len(state.committed)] == state.committed
    if after is not None and caught_up:
        log = (*leader.log, Entry(leader.term, after))
        yield f"{number} changes the voters", _with(state, number, leader._replace(log=log))


def _may_change_voters(state: State, leader: Replica) -> bool:
    uncommitted = leader.log[len(state.committed) :]
    if any(entry.voters for entry in uncommitted):
        return False
    return any(entry.term == leader.term for entry in state.committed)


def _sync(state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    if leader.synced < len(leader.log):
        synced = leader._replace(synced=len(leader.log))
        yield f"{number} syncs", _with(state, number, synced)


def _replicate(state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    for other, replica in enumerate(state.replicas):
        if other == number or replica.role == GONE or replica.term > leader.term:
            continue
        if replica.term == leader.term and replica.log == leader.log:
            continue
        vote = replica.vote if replica.term == leader.term else NO_VOTE
        moved = replica.at_term(leader.term, vote)
        followed = moved._replace(log=leader.log, synced=len(leader.log))
        yield f"{number} replicates to {other}", _with(state, other, followed)


def _commit(rules: Rules, state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    for length in range(1, len(leader.log) + 1):
        prefix = leader.log[:length]
        if prefix == state.committed[:length]:
            continue
        if rules.own_term and prefix[-1].term != leader.term:
            continue
        holders = {
            other
            for other, replica in enumerate(state.replicas)
            if replica.term == leader.term and replica.log[: min(length, replica.synced)] == prefix
        }
        if not _majority(holders, leader.voters):
            continue
        shared = min(length, len(state.committed))
        disagreed = state.disagreed or prefix[:shared] != state.committed[:shared]
        longest = max(prefix, state.committed, key=len)
        yield (
            f"{number} commits {length}",
            state._replace(committed=longest, disagreed=disagreed),
        )


def _crash(state: State, number: int) -> Iterator[Step]:
    replica = state.replicas[number]
    term, vote = replica.disk
    restarted = Replica(
        term=term,
        vote=vote,
        log=replica.log[: replica.synced],
        synced=replica.synced,
        disk=replica.disk,
    )
    if restarted != replica:
        yield f"{number} crashes", _with(state, number, restarted)


def _lose_disk(rules: Rules, state: State, number: int) -> Iterator[Step]:
    if number != 2:
        return
    lost = Replica(role=GONE) if rules.new_identity else Replica()
    if lost != state.replicas[number]:
        yield f"{number} loses its disk", _with(state, number, lost)


def _majority(group: frozenset[int] | set[int], voters: tuple[int, ...]) -> bool:
    return 2 * len(group & set(voters)) > len(voters)


def one_leader_a_term(state: dict) -> bool:
    """No two replicas lead in the same term."""
    leaders = [replica.term for replica in state["replicas"] if replica.role == LEADER]
    return len(leaders) == len(set(leaders))


def committed_entries_kept(state: dict) -> bool:
    """A leader of the latest term of all leaders holds every committed entry."""
    committed = state["committed"]
    leaders = [replica for replica in state["replicas"] if replica.role == LEADER]
    if not leaders or not committed:
        return True
    latest = max(leaders, key=lambda replica: replica.term)
    if latest.term < committed[-1].term:
        return True
    return latest.log[: len(committed)] == committed


def commits_agree(state: dict) -> bool:
    """No two leaders ever committed different entries at one index."""
    return not state["disagreed"]


def logs_match(state: dict) -> bool:
    """Two logs with an entry of equal index and term are equal up to it."""
    for left, right in combinations([replica.log for replica in state["replicas"]], 2):
        for index in range(min(len(left), len(right)) - 1, -1, -1):
            if left[index].term == right[index].term:
                if left[: index + 1] != right[: index + 1]:
                    return False
                break
    return True


def protocol(name: str, rules: Rules, initial: State) -> Protocol:
    """Returns the log under some rules."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(transitions(rules, state)),
        invariants={
            "one_leader_a_term": one_leader_a_term,
            "committed_entries_kept": committed_entries_kept,
            "commits_agree": commits_agree,
            "logs_match": logs_match,
        },
    )


def _fresh() -> State:
    return State((Replica(), Replica(), Replica()), ())


def _established() -> State:
    """Replica 0 leads in term 1 and has committed its first entry everywhere but at replica 3."""
    log = (Entry(1),)
    follower = Replica(1, 0, log, FOLLOWER, frozenset(), 1, (1, 0))
    return State((follower._replace(role=LEADER), follower, follower, Replica()), log)


ELECTIONS = Rules(max_term=3, max_log=2)
MEMBERSHIP = Rules(max_term=2, max_log=4, membership=True, appends=False)
DISK_LOSS = Rules(max_term=2, max_log=3, membership=True)

MODELS = [
    Model(
        protocol("log", ELECTIONS, _fresh()),
        "3 voters, terms up to 3, logs up to 2 entries, any number of crashes",
    ),
    Model(
        protocol("log with replacement", MEMBERSHIP, _established()),
        "4 replicas of 3 controllers, terms up to 2, logs up to 4 entries, one replacement",
    ),
    Model(
        protocol("log with disk loss", DISK_LOSS, _established()),
        "4 replicas of 3 controllers, terms up to 2, logs up to 3 entries, one replacement",
    ),
    Model(
        protocol("vote not synced", replace(ELECTIONS, votes_synced=False), _fresh()),
        "as log",
        refutes="one_leader_a_term",
    ),
    Model(
        protocol("earlier terms committed", Rules(4, 2, own_term=False, appends=False), _fresh()),
        "3 voters, terms up to 4, logs up to 2 entries, any number of crashes",
        refutes="committed_entries_kept",
    ),
    Model(
        protocol(
            "votes as its former self", replace(DISK_LOSS, new_identity=False), _established()
        ),
        "as log with disk loss",
        refutes="committed_entries_kept",
    ),
    Model(
        protocol("one-step replacement", replace(MEMBERSHIP, two_steps=False), _established()),
        "as log with replacement",
        refutes="commits_agree",
    ),
]
