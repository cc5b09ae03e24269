"""Model-based test of `RaftNode` in a simulated cluster of three controllers.

The simulated network loses, delays, reorders and repeats messages. Hosts crash, lose their disks
and have clocks with drift and different offsets.
"""

import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from geraniumtrack.coordination.consensus.raft import RaftNode
from geraniumtrack.coordination.consensus.raft_log import RaftLog
from geraniumtrack.coordination.consensus.raft_types import RaftConfig, SnapshotImage
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state.journal import AppendEntry, HardState, TruncateFrom

NAMES = ("a", "b", "c")
FIRST_VOTERS = ("a.0", "b.0", "c.0")
CLOCK_RATES = {"a": 1.0, "b": 1.004, "c": 0.996}  # drift is within the bound of 1%
# The narrow range of election timeouts makes candidates collide often. The small snapshot and batch
# limits make transfers take several messages.
CFG = RaftConfig(
    election_max_s=1.2, snapshot_chunk_bytes=512, trailing_entries=2, max_batch_entries=4
)
TICK_S = 0.05


@dataclass
class Host:
    """A simulated host: a replica, its disk and the batch that is being synced.

    Attributes:
        name: Name of the controller.
        replica_id: Id of the replica; changes when the host loses its disk.
        voters: Voters that the replica starts with if its disk has no snapshot.
        hard_state: Term and vote on disk.
        entries: Log entries on disk, by index.
        snapshot_image: Snapshot on disk, or None.
        node: The running replica, or None after a crash.
        pending_sync: The `Ready` that is being written to disk, or None.
        written_snapshot: The replica's snapshot of its own state that is not yet in use, or None.
        state: Commands applied, in log order.
        last_applied: Index and term of the last entry applied.
    """

    name: str
    replica_id: str
    voters: tuple = FIRST_VOTERS
    hard_state: HardState = HardState(0, "")
    entries: dict = field(default_factory=dict)
    snapshot_image: SnapshotImage | None = None
    node: RaftNode | None = None
    pending_sync: object = None
    written_snapshot: SnapshotImage | None = None
    state: list = field(default_factory=list)
    last_applied: tuple = (0, 0)


class Network:
    """The three hosts and the messages in transit between them.

    Attributes:
        now: Simulated time, in seconds; the hosts' clocks deviate from it, see `clock`.
        messages: Messages in transit, as pairs of destination host and message.
        blocked_links: Pairs of sender and receiver whose messages are dropped.
        leaders: Replica id of the leader, by term.
        applied: Entries applied by any replica, by index.
        disk_losses: Number of disks lost so far, for the ids of new replicas.
    """

    def __init__(self, seed=0):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.hosts = {name: Host(name, f"{name}.0") for name in NAMES}
        self.messages = []
        self.blocked_links = set()
        self.leaders = {}
        self.applied = {}
        self.disk_losses = 0
        for host in self.hosts.values():
            self.start(host)

    def clock(self, host):
        """Returns a host's clock value, which has a drift and an offset."""
        return self.now * CLOCK_RATES[host.name] + 100.0 * NAMES.index(host.name)

    def running_hosts(self):
        return [host for host in self.hosts.values() if host.node is not None]

    def leader(self):
        leaders = [host for host in self.running_hosts() if host.node.is_leader]
        return max(leaders, key=lambda host: host.node.term, default=None)

    def start(self, host):
        index, term, voters, data = host.snapshot_image or (0, 0, host.voters, None)
        host.state = list(decode(data)) if data else []
        host.last_applied = (index, term)
        remaining = [host.entries[i] for i in sorted(host.entries) if i > index]
        host.node = RaftNode(
            cfg=CFG,
            replica_id=host.replica_id,
            now=self.clock(host),
            rng=self.rng,
            hard_state=host.hard_state,
            log=RaftLog(snapshot_index=index, snapshot_term=term, entries=remaining),
            voters=voters,
            snapshot=host.snapshot_image,
            allowed_names=NAMES,
        )

    def crash(self, host, *, synced=False):
        """Stops a replica; the batch that is being synced reaches the disk if `synced`."""
        if host.pending_sync is not None and synced:
            self.write(host, host.pending_sync)
        host.node = host.pending_sync = host.written_snapshot = None

    def lose_disk(self, host):
        """Replaces a host by one with an empty disk and a new replica id."""
        self.crash(host)
        self.disk_losses += 1
        self.hosts[host.name] = Host(host.name, f"{host.name}.{self.disk_losses}", voters=())
        self.start(self.hosts[host.name])

    def write(self, host, ready):
        """Writes a batch to the disk of a host."""
        if ready.snapshot is not None:
            host.snapshot_image, host.entries = ready.snapshot, {}
        for record in ready.records:
            if isinstance(record, HardState):
                host.hard_state = record
            elif isinstance(record, AppendEntry):
                host.entries[record.entry.index] = record.entry
            elif isinstance(record, TruncateFrom):
                host.entries = {i: e for i, e in host.entries.items() if i < record.index}

    def sync(self, host):
        """Completes the sync in progress, if any, and sends the messages that waited for it."""
        ready, host.pending_sync = host.pending_sync, None
        if ready is None:
            return
        self.write(host, ready)
        if ready.snapshot is not None:
            host.state = list(decode(ready.snapshot.data))
            host.last_applied = ready.snapshot[:2]
        host.node.mark_synced(self.clock(host))
        self.send(host, ready.after_sync)
        self.pump(host)

    def pump(self, host):
        """Sends messages, applies committed entries and starts the next sync if none is pending."""
        self.send(host, host.node.take_immediate())
        for entry in host.node.take_committed():
            self.apply(host, entry)
        if host.pending_sync is None:
            ready = host.node.ready()
            self.send(host, ready.immediate)
            if ready.records or ready.snapshot is not None:
                host.pending_sync = ready
            else:
                self.send(host, ready.after_sync)
        if host.node.is_leader:
            leader = self.leaders.setdefault(host.node.term, host.replica_id)
            assert leader == host.replica_id, f"two leaders in term {host.node.term}"

    def apply(self, host, entry):
        assert entry.index == host.last_applied[0] + 1, "entry applied out of order"
        known = self.applied.setdefault(entry.index, entry)
        assert known == entry, f"entry {entry.index} differs between replicas"
        host.last_applied = (entry.index, entry.term)
        if isinstance(entry.command, str):
            host.state.append(entry.command)

    def send(self, host, outgoing):
        for to, message in outgoing:
            name = to.rpartition(".")[0]
            if (host.name, name) not in self.blocked_links:
                self.messages.append((name, message))

    def deliver(self, name, message):
        host = self.hosts[name]
        if host.node is not None:
            host.node.receive(message, self.clock(host))
            self.pump(host)

    def tick(self, host):
        """Processes a replica's timers; a replica that is not a voter asks to join the cluster."""
        host.node.tick(self.clock(host))
        if host.replica_id not in host.node.voters:
            for other in NAMES:
                if other != host.name:
                    self.messages.append((other, msgs.JoinCluster(host.replica_id)))
        self.pump(host)

    def run_without_faults(self, ticks):
        """Advances time for a number of ticks; messages are lost only on blocked links."""
        for _ in range(ticks):
            self.now += TICK_S
            for host in self.running_hosts():
                self.tick(host)
            for _ in range(3):
                in_flight, self.messages = self.messages, []
                for name, message in in_flight:
                    self.deliver(name, message)
                for host in self.running_hosts():
                    self.sync(host)

    def run_with_faults(self, rng, ticks):
        """Advances time while messages are lost, delayed, repeated or reordered and hosts crash."""
        delay_rate = rng.choice([0.1, 0.5, 0.8])
        loss_rate = (1 - delay_rate) * rng.choice([0.05, 0.3])
        sync_rate = rng.choice([0.2, 0.6, 1.0])
        crash_rate = rng.choice([0.0, 0.002, 0.02])
        for _ in range(ticks):
            self.now += TICK_S
            for host in self.running_hosts():
                self.tick(host)
            for _ in range(3):
                rng.shuffle(self.messages)
                in_flight, self.messages = self.messages, []
                for name, message in in_flight:
                    draw = rng.random()
                    # Fewer messages are repeated than lost, to bound the number in transit.
                    if draw < delay_rate or draw > 1 - loss_rate / 4:
                        self.messages.append((name, message))
                    if draw > delay_rate + loss_rate:
                        self.deliver(name, message)
                for host in list(self.hosts.values()):
                    self.inject_faults(host, rng, sync_rate, crash_rate)

    def inject_faults(self, host, rng, sync_rate, crash_rate):
        """Randomly starts, syncs or crashes a replica, takes snapshots and proposes commands."""
        if host.node is None:
            if rng.random() < 0.1:
                self.start(host)
            return
        if rng.random() < sync_rate:
            self.sync(host)
        if rng.random() < 0.1:
            rng.choice([self.write_snapshot, self.adopt_snapshot])(host)
        if host.node.is_leader and rng.random() < 0.2:
            host.node.propose(f"write {self.now} {rng.random()}", self.clock(host))
            self.pump(host)
        if rng.random() < crash_rate:
            self.crash(host, synced=rng.random() < 0.5)

    def propose(self, command):
        leader = self.leader()
        if leader is None:
            return None
        position = leader.node.propose(command, self.clock(leader))
        self.pump(leader)
        return position

    def write_snapshot(self, host):
        """Writes a snapshot of the applied state, to be adopted later."""
        index, term = host.last_applied
        if host.node._installing or (host.node.snapshot and index <= host.node.snapshot.index):
            return
        host.written_snapshot = SnapshotImage(
            index, term, host.node.voters_at(index), encode(host.state)
        )

    def adopt_snapshot(self, host):
        """Puts the written snapshot into use and compacts the log.

        Drops the snapshot during a sync, and if one of the same or a later index is in use.
        """
        snapshot_image, host.written_snapshot = host.written_snapshot, None
        if snapshot_image is None or host.pending_sync is not None:
            return
        node = host.node
        if node.snapshot is not None and node.snapshot.index >= snapshot_image.index:
            return
        host.snapshot_image = snapshot_image
        host.hard_state = HardState(node.term, node.voted_for)
        host.entries = {
            e.index: e for e in node.log.slice(snapshot_image.index + 1, node.log.last_index)
        }
        node.compact_log(snapshot_image)

    def committed_voters(self):
        """Returns the voters of the last voter change that any replica has applied."""
        voters = FIRST_VOTERS
        for index in sorted(self.applied):
            if isinstance(self.applied[index].command, msgs.ChangeVoters):
                voters = self.applied[index].command.voters
        return voters

    def check_lease(self):
        """Asserts that no replica leads a newer term while an older leader's lease is valid."""
        for holder in self.running_hosts():
            if not holder.node.lease_valid(self.clock(holder)):
                continue
            for other in self.running_hosts():
                leads_newer_term = other.node.is_leader and other.node.term > holder.node.term
                assert not leads_newer_term, f"{other.name} leads during the lease of {holder.name}"

    def check_logs(self):
        """Asserts that two logs with the same term at an index are equal up to this index."""
        logs = [{e.index: e for e in h.node.log.slice(0, 10**6)} for h in self.running_hosts()]
        for left in logs:
            for right in logs:
                same_term = [i for i in left if i in right and left[i].term == right[i].term]
                for index in range(max(left.keys() & right.keys(), default=0), 0, -1):
                    if same_term and index <= max(same_term) and index in left and index in right:
                        assert left[index] == right[index], f"logs differ at {index}"


class RaftMachine(RuleBasedStateMachine):
    """Guards against two leaders in a term, diverging logs, lost entries and overlapping leases.

    These failures can arise when elections, snapshots or voter changes coincide with message loss,
    crashes, lost disks, network partitions or clock drift.
    """

    @initialize(seed=st.integers(0, 1000))
    def set_up(self, seed):
        self.net = Network(seed)
        self.proposals = 0
        self.net.run_without_faults(50)

    def host(self, host_index):
        return self.net.hosts[NAMES[host_index % 3]]

    @rule(ticks=st.integers(1, 50))
    def run_without_faults(self, ticks):
        self.net.run_without_faults(ticks)

    @rule(seed=st.integers(0, 2**16), ticks=st.integers(20, 300))
    def run_with_faults(self, seed, ticks):
        self.net.run_with_faults(random.Random(seed), ticks)

    @rule(steps=st.integers(1, 12), ticking_mask=st.integers(0, 7))
    def advance(self, steps, ticking_mask):
        """Advances time; only the hosts whose bit is set in `ticking_mask` process their timers."""
        self.net.now += steps * TICK_S
        for bit, host in enumerate(list(self.net.hosts.values())):
            if host.node is not None and ticking_mask >> bit & 1:
                self.net.tick(host)

    @precondition(lambda self: self.net.messages)
    @rule(position=st.integers(0, 50), action=st.sampled_from(["deliver", "drop", "duplicate"]))
    def handle_message(self, position, action):
        messages = self.net.messages
        position %= len(messages)
        to, message = messages[position] if action == "duplicate" else messages.pop(position)
        if action != "drop":
            self.net.deliver(to, message)

    @rule(
        host_index=st.integers(0, 2),
        action=st.sampled_from(["crash", "crash_synced", "sync", "start"]),
    )
    def change_host(self, host_index, action):
        host = self.host(host_index)
        if host.node is None:
            self.net.start(host)
        elif action == "sync":
            self.net.sync(host)
        elif action.startswith("crash"):
            self.net.crash(host, synced=action == "crash_synced")

    @rule(host_index=st.integers(0, 2))
    def lose_disk(self, host_index):
        # At most one disk is lost at a time: the next only once all current replicas are voters.
        ids = {host.replica_id for host in self.net.hosts.values()}
        if ids == set(self.net.committed_voters()):
            self.net.lose_disk(self.host(host_index))

    @rule(count=st.integers(1, 6))
    def propose(self, count):
        for _ in range(count):
            self.proposals += 1
            self.net.propose(f"command {self.proposals}")

    @rule(
        host_index=st.integers(0, 2),
        method=st.sampled_from(["write_snapshot", "adopt_snapshot"]),
    )
    def snapshot(self, host_index, method):
        host = self.host(host_index)
        if host.node is not None:
            getattr(self.net, method)(host)

    @rule(host_index=st.integers(0, 2), can_send=st.booleans(), can_receive=st.booleans())
    def isolate(self, host_index, can_send, can_receive):
        """Blocks one host's links in the directions that are False, and unblocks all others."""
        name = NAMES[host_index]
        others = [other for other in NAMES if other != name]
        blocked_sends = set() if can_send else {(name, other) for other in others}
        blocked_receives = set() if can_receive else {(other, name) for other in others}
        self.net.blocked_links = blocked_sends | blocked_receives

    @rule(seed=st.integers(0, 2**16), ticks=st.integers(20, 100))
    def restart_all(self, seed, ticks):
        for host in self.net.hosts.values():
            self.net.crash(host)
            self.net.start(host)
        self.net.run_with_faults(random.Random(seed), ticks)

    @invariant()
    def logs_match_and_lease_is_exclusive(self):
        if hasattr(self, "net"):
            self.net.check_lease()
            self.net.check_logs()

    def teardown(self):
        if not hasattr(self, "net"):
            return
        net = self.net
        net.blocked_links = set()
        for host in net.hosts.values():
            if host.node is None:
                net.start(host)
        net.messages.clear()
        net.run_without_faults(400)
        leader = net.leader()
        assert leader is not None, "no leader after the network recovered"
        assert set(leader.node.voters) == {host.replica_id for host in net.hosts.values()}
        commands = [e.command for _, e in sorted(net.applied.items()) if isinstance(e.command, str)]
        for host in net.hosts.values():
            assert host.state == commands, f"{host.name} applied different commands"


TestRaft = RaftMachine.TestCase
TestRaft.settings = settings(stateful_step_count=40)
