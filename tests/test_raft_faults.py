"""Scenarios in which a replica once violated a guarantee of the replicated log."""

import random

from geraniumtrack.coordination.consensus.raft import RaftNode
from geraniumtrack.coordination.consensus.raft_log import RaftLog
from geraniumtrack.coordination.consensus.raft_types import RaftConfig, SnapshotImage
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.protocol.codec import encode
from geraniumtrack.state.journal import LogEntry
from geraniumtrack.transport.websocket import MAX_FRAME_BYTES

VOTERS = ("a.0", "b.0", "c.0")


def make_node(replica_id="b.0", voters=VOTERS, **kwargs):
    return RaftNode(
        cfg=RaftConfig(),
        replica_id=replica_id,
        now=0.0,
        rng=random.Random(0),
        voters=voters,
        allowed_names=("a", "b", "c"),
        **kwargs,
    )


def entries(first, last, term):
    return tuple(LogEntry(i, term, f"{term}:{i}") for i in range(first, last + 1))


def append_entries(sender, term, prev, new_entries, commit=0, sent_at=0.0):
    return msgs.AppendEntries(sender, "b.0", term, *prev, new_entries, commit, sent_at)


def sync(node, now=0.0):
    """Completes a sync at once; returns the messages that had to wait for it."""
    ready = node.ready()
    node.mark_synced(now)
    return [item.message for item in ready.after_sync]


def make_leader(now=2.5, **kwargs):
    """Returns replica a.0, elected leader of term 1 with the vote of b.0."""
    node = make_node("a.0", **kwargs)
    node.tick(now)
    node.receive(msgs.PreVoteReply("b.0", 0, 1, True), now)
    sync(node, now)
    node.receive(msgs.VoteReply("b.0", 1, True), now)
    assert node.is_leader
    return node


def test_truncation_during_a_sync_leaves_new_entries_unsynced():
    """Guards against entries that count as durable before they are synced.

    The entries replace truncated ones while a batch with the old, longer log is being synced.
    """
    node = make_node()
    node.receive(append_entries("a.0", 1, (0, 0), entries(1, 10, 1)), 0.0)
    node.ready()
    node.receive(append_entries("c.0", 2, (7, 1), entries(8, 9, 2), commit=9), 0.1)
    node.mark_synced(0.2)
    assert [entry.index for entry in node.take_committed()] == list(range(1, 8))
    sync(node)
    assert [entry.command for entry in node.take_committed()] == ["2:8", "2:9"]


def test_no_vote_during_a_lease_even_in_the_current_term():
    """Guards against a second leader during the lease of the first.

    The follower learned of the candidate's term from a delayed reply, so the vote request no longer
    has a newer term than its own.
    """
    node = make_node()
    node.receive(append_entries("a.0", 1, (0, 0), entries(1, 1, 1)), 5.0)
    node.receive(msgs.VoteReply("c.0", 2, False), 5.1)
    node.receive(msgs.RequestVote("c.0", 2, 9, 1), 5.2)
    assert not any(getattr(reply, "granted", False) for reply in sync(node))
    node.receive(msgs.RequestVote("c.0", 2, 9, 1), 6.1)
    assert any(getattr(reply, "granted", False) for reply in sync(node))


def test_late_snapshot_keeps_acknowledged_entries_after_it():
    """Guards against the loss of entries that the leader counts towards a majority.

    A delayed snapshot arrives after the replica has acknowledged entries beyond it.
    """
    node = make_node()
    node.receive(append_entries("a.0", 1, (0, 0), entries(1, 20, 1), commit=5), 0.0)
    assert sync(node)[-1].match == 20
    node.receive(msgs.InstallSnapshot("a.0", "b.0", 1, 10, 1, VOTERS, 0, 1, b"x", 0.0), 0.1)
    assert node.log.last_index == 20
    assert node.commit_index == 10


def test_replica_votes_before_it_learns_that_it_is_a_voter():
    """Guards against a cluster that cannot elect a leader.

    The leader fails just after adding a voter, whose vote is needed before its own log lists it.
    """
    learner = make_node("c.1", voters=())
    learner.receive(msgs.RequestVote("b.0", 3, 9, 2), 1.5)
    assert sync(learner)[-1].granted


def test_own_snapshot_older_than_one_from_the_leader_is_ignored():
    """Guards against compacting the log to a position before its start.

    A snapshot from the leader arrives while the replica is still writing its own, older one.
    """
    node = make_node()
    node.receive(append_entries("a.0", 1, (0, 0), entries(1, 600, 1), commit=600), 0.0)
    sync(node)
    node.receive(msgs.InstallSnapshot("a.0", "b.0", 1, 900, 1, VOTERS, 0, 1, b"x", 0.0), 0.1)
    node.compact_log(SnapshotImage(600, 1, VOTERS, b"old"))
    assert node.snapshot.index == 900
    assert node.voters == VOTERS


def test_snapshot_larger_than_a_frame_is_sent_in_chunks():
    """Guards against a learner that cannot join because the snapshot exceeds the frame limit."""
    leader = make_leader()
    leader.snapshot = SnapshotImage(1, 1, VOTERS, bytes(3 * MAX_FRAME_BYTES))
    leader.log.reset(1, 1)
    learner = make_node("c.1", voters=())
    leader.receive(msgs.JoinCluster("c.1"), 3.0)
    for _ in range(100):
        for item in leader.take_immediate():
            assert len(encode(item.message)) < MAX_FRAME_BYTES
            if item.to == "c.1":
                learner.receive(item.message, 3.0)
        for reply in sync(learner):
            leader.receive(reply, 3.0)
    assert learner.snapshot == leader.snapshot


def test_batch_of_large_entries_fits_a_frame():
    """Guards against a follower that never catches up because batches exceed the frame limit."""
    leader = make_leader()
    for _ in range(200):
        leader.propose(bytes(64 * 1024), 3.0)
    sync(leader, 3.0)
    leader.receive(msgs.AppendReply("b.0", 1, False, 0, 2.5), 3.0)
    sent = [item.message for item in leader.take_immediate()]
    assert max(len(message.entries) for message in sent) > 1
    assert all(len(encode(message)) < MAX_FRAME_BYTES / 2 for message in sent)


def test_message_for_the_former_replica_of_a_controller_is_ignored():
    """Guards against two snapshot transfers that overwrite each other indefinitely.

    After a controller has lost its disk, the leader may send to its old and its new replica id.
    """
    learner = make_node("b.1", voters=())
    for number in range(4):
        to, index = ("b.0", 20) if number % 2 else ("b.1", 10)
        chunk = msgs.InstallSnapshot("a.0", to, 1, index, 1, VOTERS, number // 2, 2, b"x", 0.0)
        learner.receive(chunk, 0.1)
    assert learner.snapshot == SnapshotImage(10, 1, VOTERS, b"xx")


def acknowledge(leader, sender, now=3.0):
    """Delivers a replica's reply that its log matches the leader's whole log."""
    sync(leader, now)
    reply = msgs.AppendReply(sender, leader.term, True, leader.log.last_index, now)
    leader.receive(reply, now)


def test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas():
    """Guards against committing an entry that a later leader may still replace.

    An entry of an earlier term is safe only once an entry of the leader's own term is on a
    majority, even if the older entry itself is already on a majority.
    """
    leader = make_leader(log=RaftLog(entries=list(entries(1, 1, 0))))
    sync(leader, 2.5)
    leader.receive(msgs.AppendReply("b.0", 1, True, 1, 2.5), 2.5)
    assert leader.commit_index == 0
    leader.receive(msgs.AppendReply("b.0", 1, True, 2, 2.5), 2.5)
    assert leader.commit_index == 2


def test_voter_replacement_commits_the_removal_before_the_addition():
    """Guards against two disjoint majorities, one of the old voters and one of the new.

    They become possible if a voter is removed and its replacement added in one change.
    """
    leader = make_leader()
    acknowledge(leader, "b.0")
    leader.receive(msgs.JoinCluster("c.1"), 9.0)
    acknowledge(leader, "c.1", 9.0)
    assert leader.voters == ("a.0", "b.0")
    acknowledge(leader, "c.1", 9.1)
    assert leader.voters == ("a.0", "b.0")
    acknowledge(leader, "b.0", 9.2)
    acknowledge(leader, "c.1", 9.3)
    assert leader.voters == ("a.0", "b.0", "c.1")


def test_new_leader_waits_for_first_replies_before_stepping_down():
    """Guards against endless elections when the first replies take longer than a heartbeat."""
    leader = make_leader(now=2.5)
    leader.tick(2.8)
    assert leader.is_leader
    leader.tick(4.6)
    assert not leader.is_leader


def test_restarted_replica_waits_before_it_votes():
    """Guards against a vote during a lease that the replica acknowledged before its restart."""
    node = make_node()
    node.receive(msgs.RequestVote("c.0", 2, 9, 1), 0.9)
    assert not any(getattr(reply, "granted", False) for reply in sync(node))


def test_replica_votes_only_once_in_a_term():
    """Guards against two leaders in one term, both elected with the vote of the same replica."""
    node = make_node()
    node.receive(msgs.RequestVote("c.0", 2, 9, 1), 1.5)
    node.receive(msgs.RequestVote("a.0", 2, 9, 1), 1.5)
    assert [reply.granted for reply in sync(node)] == [True, False]


def test_lease_ends_before_a_follower_may_vote():
    """Guards against a second leader while the first still has a lease, at 1% of clock drift.

    Followers may vote again one minimum election timeout after their last contact with the leader,
    so the lease must end earlier, even by the slowest clock.
    """
    leader = make_leader()
    sync(leader, 2.5)
    leader.receive(msgs.AppendReply("b.0", 1, True, 1, 2.5), 2.6)
    assert leader.lease_valid(2.6)
    assert not leader.lease_valid(2.5 + leader.cfg.election_min_s / 1.01)
