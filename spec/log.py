"""The replicated log: elections, synced votes, append, commit, crash, disk loss, replacement.

A message is delivered in the step that sends it or never. The votes of a candidate may be counted
at any later time.

A write to disk that precedes an answer is one step with the answer, because no other replica can
observe the state in between. Two values can be observed before they are durable, and are therefore
synced in a separate step or not at all: the entries that a leader sends before its own sync, and,
in a mutant, votes.

Replicas 0, 1 and 2 are the initial voters. Replica 3 is the new identity of replica 2: a learner
with an empty log. Replica 2 may lose its disk, or continue to run at the same time as replica 3.
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
# Voters before, during and after the replacement of replica 2 by replica 3.
INITIAL_VOTERS, REMAINING_VOTERS, NEW_VOTERS = (0, 1, 2), (0, 1), (0, 1, 3)
NO_VOTE = -1


class Entry(NamedTuple):
    """A log entry; `voters` is empty unless the entry changes the membership."""

    term: int
    voters: tuple[int, ...] = ()


class Replica(NamedTuple):
    """State of one replica.

    Attributes:
        term: Its current term.
        vote: Replica that it voted for in this term, or NO_VOTE.
        log: Its log entries, synced or not.
        role: FOLLOWER, CANDIDATE, LEADER, or GONE after the loss of its disk.
        granted: Replicas that voted for it, while it is a candidate.
        synced: Number of log entries that survive a crash.
        disk: Term and vote that survive a crash.
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
        return next((entry.voters for entry in reversed(self.log) if entry.voters), INITIAL_VOTERS)

    def rank(self) -> tuple[int, int]:
        """Term and index of the last log entry, by which a voter compares logs."""
        return (self.log[-1].term if self.log else 0, len(self.log))

    def at_term(self, term: int, vote: int, *, durable: bool = True) -> Replica:
        """Returns this replica as a follower in a term; `durable` syncs the term and the vote."""
        disk = (term, vote) if durable else self.disk
        return self._replace(term=term, vote=vote, role=FOLLOWER, granted=frozenset(), disk=disk)


class State(NamedTuple):
    """State of the whole group.

    Attributes:
        replicas: The replicas, by number.
        committed: The longest log prefix that was committed.
        disagreed: Whether two different entries were ever committed at the same index.
    """

    replicas: tuple[Replica, ...]
    committed: tuple[Entry, ...]
    disagreed: bool = False


@dataclass(frozen=True)
class Rules:
    """Bounds of the exploration and the mechanisms of the protocol.

    Attributes:
        max_term: Highest term.
        max_log: Maximum length of a log.
        membership: Whether replica 2 may be replaced by replica 3 and may lose its disk.
        votes_synced: Whether a vote is synced before it is answered.
        new_identity: Whether a replica that lost its disk is gone, rather than restarted empty
            under its former identity.
        two_steps: Whether replica 2 is removed in one membership change and replica 3 is added in
            another, rather than both in one.
        own_term: Whether entries of earlier terms are committed only together with a later entry of
            the leader's own term.
        appends: Whether leaders append further entries, besides the first entry of their term and
            membership changes.
    """

    max_term: int
    max_log: int
    membership: bool = False
    votes_synced: bool = True
    new_identity: bool = True
    two_steps: bool = True
    own_term: bool = True
    appends: bool = True


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
            yield from _request_votes(rules, state, number)
            yield from _win(rules, state, number)
        if replica.role == LEADER:
            yield from _append(rules, state, number)
            yield from _sync(state, number)
            yield from _replicate(state, number)
            yield from _commit(rules, state, number)


def _replace_replica(state: State, number: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[number] = replica
    return state._replace(replicas=tuple(replicas))


def _start_election(rules: Rules, state: State, number: int) -> Iterator[Step]:
    replica = state.replicas[number]
    if replica.term >= rules.max_term or replica.role == LEADER or number not in replica.voters:
        return
    voted = replica.at_term(replica.term + 1, number)
    candidate = voted._replace(role=CANDIDATE, granted=frozenset([number]))
    yield f"{number} starts an election", _replace_replica(state, number, candidate)


def _request_votes(rules: Rules, state: State, number: int) -> Iterator[Step]:
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
        yield f"{other} votes for {number}", _replace_replica(
            _replace_replica(state, other, voted), number, counted
        )


def _win(rules: Rules, state: State, number: int) -> Iterator[Step]:
    candidate = state.replicas[number]
    if not _is_majority(candidate.granted, candidate.voters) or len(candidate.log) >= rules.max_log:
        return
    log = (*candidate.log, Entry(candidate.term))
    leader = candidate._replace(role=LEADER, granted=frozenset(), log=log)
    yield f"{number} becomes leader", _replace_replica(state, number, leader)


def _append(rules: Rules, state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    if len(leader.log) >= rules.max_log:
        return
    if rules.appends:
        log = (*leader.log, Entry(leader.term))
        yield f"{number} appends", _replace_replica(state, number, leader._replace(log=log))
    if not rules.membership or not _may_change_voters(state, leader):
        return
    changes = {
        INITIAL_VOTERS: REMAINING_VOTERS if rules.two_steps else NEW_VOTERS,
        REMAINING_VOTERS: NEW_VOTERS,
    }
    new_voters = changes.get(leader.voters)
    caught_up = state.replicas[3].log[: len(state.committed)] == state.committed
    if new_voters is not None and caught_up:
        log = (*leader.log, Entry(leader.term, new_voters))
        yield f"{number} changes the voters", _replace_replica(
            state, number, leader._replace(log=log)
        )


def _may_change_voters(state: State, leader: Replica) -> bool:
    uncommitted = leader.log[len(state.committed) :]
    if any(entry.voters for entry in uncommitted):
        return False
    return any(entry.term == leader.term for entry in state.committed)


def _sync(state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    if leader.synced < len(leader.log):
        synced = leader._replace(synced=len(leader.log))
        yield f"{number} syncs", _replace_replica(state, number, synced)


def _replicate(state: State, number: int) -> Iterator[Step]:
    leader = state.replicas[number]
    for other, replica in enumerate(state.replicas):
        if other == number or replica.role == GONE or replica.term > leader.term:
            continue
        if replica.term == leader.term and replica.log == leader.log:
            continue
        vote = replica.vote if replica.term == leader.term else NO_VOTE
        follower = replica.at_term(leader.term, vote)
        updated = follower._replace(log=leader.log, synced=len(leader.log))
        yield f"{number} replicates to {other}", _replace_replica(state, other, updated)


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
        if not _is_majority(holders, leader.voters):
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
        yield f"{number} crashes", _replace_replica(state, number, restarted)


def _lose_disk(rules: Rules, state: State, number: int) -> Iterator[Step]:
    if number != 2:
        return
    empty = Replica(role=GONE) if rules.new_identity else Replica()
    if empty != state.replicas[number]:
        yield f"{number} loses its disk", _replace_replica(state, number, empty)


def _is_majority(replicas: frozenset[int] | set[int], voters: tuple[int, ...]) -> bool:
    return 2 * len(replicas & set(voters)) > len(voters)


def one_leader_a_term(state: dict) -> bool:
    """No two replicas lead in the same term."""
    leaders = [replica.term for replica in state["replicas"] if replica.role == LEADER]
    return len(leaders) == len(set(leaders))


def committed_entries_kept(state: dict) -> bool:
    """The leader of the highest term has every committed entry in its log."""
    committed = state["committed"]
    leaders = [replica for replica in state["replicas"] if replica.role == LEADER]
    if not leaders or not committed:
        return True
    latest = max(leaders, key=lambda replica: replica.term)
    if latest.term < committed[-1].term:
        return True
    return latest.log[: len(committed)] == committed


def commits_agree(state: dict) -> bool:
    """No two leaders ever committed different entries at the same index."""
    return not state["disagreed"]


def logs_match(state: dict) -> bool:
    """Two logs with the same term at an index are equal up to and including that index."""
    for left, right in combinations([replica.log for replica in state["replicas"]], 2):
        for index in range(min(len(left), len(right)) - 1, -1, -1):
            if left[index].term == right[index].term:
                if left[: index + 1] != right[: index + 1]:
                    return False
                break
    return True


def protocol(name: str, rules: Rules, initial: State) -> Protocol:
    """Returns the protocol of the replicated log with the given mechanisms."""
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
    """Returns three voters with empty logs, before the first election."""
    return State((Replica(), Replica(), Replica()), ())


def _established() -> State:
    """Returns a leader of term 1, replica 0, whose first entry is committed; replica 3 is empty."""
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
            "votes under former identity after disk loss",
            replace(DISK_LOSS, new_identity=False),
            _established(),
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
