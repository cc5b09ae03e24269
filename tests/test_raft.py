"""RaftNode over an unreliable network in memory, with crashes, lost disks and drifting clocks."""

import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from geraniumtrack.coordination.raft import RaftConfig, RaftNode, SnapshotImage
from geraniumtrack.coordination.raft_log import RaftLog
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state.journal import AppendEntry, HardState, TruncateFrom

NAMES = ("a", "b", "c")
FIRST_VOTERS = ("a.0", "b.0", "c.0")
RATES = {"a": 1.0, "b": 1.004, "c": 0.996}  # within the drift bound of 1%
# A short span of election timeouts makes elections collide often.
CFG = RaftConfig(
    election_max_s=1.2, snapshot_chunk_bytes=512, trailing_entries=2, max_batch_entries=4
)
TICK_S = 0.05


@dataclass
class Host:
    """A replica with its disk and the batch that is being synced."""

    name: str
    replica_id: str
    voters: tuple = FIRST_VOTERS
    hard_state: HardState = HardState(0, "")
    entries: dict = field(default_factory=dict)
    image: SnapshotImage | None = None
    node: RaftNode | None = None
    pending: object = None
    written: SnapshotImage | None = None
    state: list = field(default_factory=list)
    last: tuple = (0, 0)  # index and term of the last entry applied


class Network:
    """Three hosts and the messages between them."""

    def __init__(self, seed=0):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.hosts = {name: Host(name, f"{name}.0") for name in NAMES}
        self.messages = []
        self.cut = set()
        self.leaders = {}
        self.applied = {}
        self.losses = 0
        for host in self.hosts.values():
            self.start(host)

    def clock(self, host):
        return self.now * RATES[host.name] + 100.0 * NAMES.index(host.name)

    def up(self):
        return [host for host in self.hosts.values() if host.node is not None]

    def leader(self):
        leaders = [host for host in self.up() if host.node.is_leader]
        return max(leaders, key=lambda host: host.node.term, default=None)

    def start(self, host):
        index, term, voters, data = host.image or (0, 0, host.voters, None)
        host.state = list(decode(data)) if data else []
        host.last = (index, term)
        kept = [host.entries[i] for i in sorted(host.entries) if i > index]
        host.node = RaftNode(
            cfg=CFG,
            replica_id=host.replica_id,
            now=self.clock(host),
            rng=self.rng,
            hard_state=host.hard_state,
            log=RaftLog(snapshot_index=index, snapshot_term=term, entries=kept),
            voters=voters,
            snapshot=host.image,
            allowed_names=NAMES,
        )

    def crash(self, host, *, synced=False):
        if host.pending is not None and synced:
            self.write(host, host.pending)
        host.node = host.pending = host.written = None

    def lose_disk(self, host):
        self.crash(host)
        self.losses += 1
        self.hosts[host.name] = Host(host.name, f"{host.name}.{self.losses}", voters=())
        self.start(self.hosts[host.name])

    def write(self, host, ready):
        if ready.snapshot is not None:
            host.image, host.entries = ready.snapshot, {}
        for record in ready.records:
            if isinstance(record, HardState):
                host.hard_state = record
            elif isinstance(record, AppendEntry):
                host.entries[record.entry.index] = record.entry
            elif isinstance(record, TruncateFrom):
                host.entries = {i: e for i, e in host.entries.items() if i < record.index}

    def sync(self, host):
        ready, host.pending = host.pending, None
        if ready is None:
            return
        self.write(host, ready)
        if ready.snapshot is not None:
            host.state = list(decode(ready.snapshot.data))
            host.last = ready.snapshot[:2]
        host.node.mark_synced(self.clock(host))
        self.send(host, ready.after_sync)
        self.pump(host)

    def pump(self, host):
        self.send(host, host.node.take_immediate())
        for entry in host.node.take_committed():
            self.apply(host, entry)
        if host.pending is None:
            ready = host.node.ready()
            self.send(host, ready.immediate)
            if ready.records or ready.snapshot is not None:
                host.pending = ready
            else:
                self.send(host, ready.after_sync)
        if host.node.is_leader:
            leader = self.leaders.setdefault(host.node.term, host.replica_id)
            assert leader == host.replica_id, f"two leaders in term {host.node.term}"

    def apply(self, host, entry):
        assert entry.index == host.last[0] + 1, "entries are applied in order"
        known = self.applied.setdefault(entry.index, entry)
        assert known == entry, f"entry {entry.index} differs between replicas"
        host.last = (entry.index, entry.term)
        if isinstance(entry.command, str):
            host.state.append(entry.command)

    def send(self, host, outgoing):
        for to, message in outgoing:
            name = to.rpartition(".")[0]
            if (host.name, name) not in self.cut:
                self.messages.append((name, message))

    def deliver(self, name, message):
        host = self.hosts[name]
        if host.node is not None:
            host.node.receive(message, self.clock(host))
            self.pump(host)

    def tick(self, host):
        host.node.tick(self.clock(host))
        if host.replica_id not in host.node.voters:
            for other in NAMES:
                if other != host.name:
                    self.messages.append((other, msgs.JoinCluster(host.replica_id)))
        self.pump(host)

    def settle(self, rounds):
        """Lets time pass in a network that drops nothing but what is cut."""
        for _ in range(rounds):
            self.now += TICK_S
            for host in self.up():
                self.tick(host)
            for _ in range(3):
                waiting, self.messages = self.messages, []
                for name, message in waiting:
                    self.deliver(name, message)
                for host in self.up():
                    self.sync(host)

    def storm(self, rng, rounds):
        """Lets time pass while messages are lost, repeated and reordered, and hosts crash."""
        late = rng.choice([0.1, 0.5, 0.8])
        lost = (1 - late) * rng.choice([0.05, 0.3])
        synced = rng.choice([0.2, 0.6, 1.0])
        crashed = rng.choice([0.0, 0.002, 0.02])
        for _ in range(rounds):
            self.now += TICK_S
            for host in self.up():
                self.tick(host)
            for _ in range(3):
                rng.shuffle(self.messages)
                waiting, self.messages = self.messages, []
                for name, message in waiting:
                    fate = rng.random()
                    # Fewer messages are repeated than lost, so that their number stays bounded.
                    if fate < late or fate > 1 - lost / 4:
                        self.messages.append((name, message))
                    if fate > late + lost:
                        self.deliver(name, message)
                for host in list(self.hosts.values()):
                    self.disturb(host, rng, synced, crashed)

    def disturb(self, host, rng, synced, crashed):
        if host.node is None:
            if rng.random() < 0.1:
                self.start(host)
            return
        if rng.random() < synced:
            self.sync(host)
        if rng.random() < 0.1:
            rng.choice([self.capture, self.adopt])(host)
        if host.node.is_leader and rng.random() < 0.2:
            host.node.propose(f"storm {self.now} {rng.random()}", self.clock(host))
            self.pump(host)
        if rng.random() < crashed:
            self.crash(host, synced=rng.random() < 0.5)

    def propose(self, command):
        leader = self.leader()
        if leader is None:
            return None
        position = leader.node.propose(command, self.clock(leader))
        self.pump(leader)
        return position

    def capture(self, host):
        index, term = host.last
        if host.node._installing or (host.node.snapshot and index <= host.node.snapshot.index):
            return
        host.written = SnapshotImage(index, term, host.node.voters_at(index), encode(host.state))

    def adopt(self, host):
        image, host.written = host.written, None
        if image is None or host.pending is not None:
            return
        node = host.node
        if node.snapshot is not None and node.snapshot.index >= image.index:
            return
        host.image = image
        host.hard_state = HardState(node.term, node.voted_for)
        host.entries = {e.index: e for e in node.log.slice(image.index + 1, node.log.last_index)}
        node.compact_log(image)

    def committed_voters(self):
        voters = FIRST_VOTERS
        for index in sorted(self.applied):
            if isinstance(self.applied[index].command, msgs.ChangeVoters):
                voters = self.applied[index].command.voters
        return voters

    def check_lease(self):
        for holder in self.up():
            if not holder.node.lease_valid(self.clock(holder)):
                continue
            for other in self.up():
                newer = other.node.is_leader and other.node.term > holder.node.term
                assert not newer, f"{other.name} leads inside the lease of {holder.name}"

    def check_logs(self):
        logs = [{e.index: e for e in h.node.log.slice(0, 10**6)} for h in self.up()]
        for left in logs:
            for right in logs:
                same = [i for i in left if i in right and left[i].term == right[i].term]
                for index in range(max(left.keys() & right.keys(), default=0), 0, -1):
                    if same and index <= max(same) and index in left and index in right:
                        assert left[index] == right[index], f"logs differ at {index}"


class RaftMachine(RuleBasedStateMachine):
    """Guards against two leaders, diverging logs, lost commits and broken leases."""

    @initialize(seed=st.integers(0, 1000))
    def set_up(self, seed):
        self.net = Network(seed)
        self.proposals = 0
        self.net.settle(50)

    def host(self, number):
        return self.net.hosts[NAMES[number % 3]]

    @rule(rounds=st.integers(1, 50))
    def settle(self, rounds):
        self.net.settle(rounds)

    @rule(seed=st.integers(0, 2**16), rounds=st.integers(20, 300))
    def storm(self, seed, rounds):
        self.net.storm(random.Random(seed), rounds)

    @rule(steps=st.integers(1, 12), who=st.integers(0, 7))
    def advance(self, steps, who):
        self.net.now += steps * TICK_S
        for number, host in enumerate(list(self.net.hosts.values())):
            if host.node is not None and who >> number & 1:
                self.net.tick(host)

    @precondition(lambda self: self.net.messages)
    @rule(position=st.integers(0, 50), what=st.sampled_from(["deliver", "drop", "duplicate"]))
    def handle_message(self, position, what):
        messages = self.net.messages
        position %= len(messages)
        to, message = messages[position] if what == "duplicate" else messages.pop(position)
        if what != "drop":
            self.net.deliver(to, message)

    @rule(
        number=st.integers(0, 2), what=st.sampled_from(["crash", "crash_synced", "sync", "start"])
    )
    def change_host(self, number, what):
        host = self.host(number)
        if host.node is None:
            self.net.start(host)
        elif what == "sync":
            self.net.sync(host)
        elif what.startswith("crash"):
            self.net.crash(host, synced=what == "crash_synced")

    @rule(number=st.integers(0, 2))
    def lose_disk(self, number):
        ids = {host.replica_id for host in self.net.hosts.values()}
        if ids == set(self.net.committed_voters()):
            self.net.lose_disk(self.host(number))

    @rule(count=st.integers(1, 6))
    def propose(self, count):
        for _ in range(count):
            self.proposals += 1
            self.net.propose(f"command {self.proposals}")

    @rule(number=st.integers(0, 2), step=st.sampled_from(["capture", "adopt"]))
    def snapshot(self, number, step):
        host = self.host(number)
        if host.node is not None:
            getattr(self.net, step)(host)

    @rule(number=st.integers(0, 2), heard=st.booleans(), hears=st.booleans())
    def isolate(self, number, heard, hears):
        """Cuts one host off in both directions or one; only one host is cut off at a time."""
        name = NAMES[number]
        others = [other for other in NAMES if other != name]
        sent = set() if heard else {(name, other) for other in others}
        received = set() if hears else {(other, name) for other in others}
        self.net.cut = sent | received

    @rule(seed=st.integers(0, 2**16), rounds=st.integers(20, 100))
    def restart_all(self, seed, rounds):
        for host in self.net.hosts.values():
            self.net.crash(host)
            self.net.start(host)
        self.net.storm(random.Random(seed), rounds)

    @invariant()
    def logs_and_lease(self):
        if hasattr(self, "net"):
            self.net.check_lease()
            self.net.check_logs()

    def teardown(self):
        if not hasattr(self, "net"):
            return
        net = self.net
        net.cut = set()
        for host in net.hosts.values():
            if host.node is None:
                net.start(host)
        net.messages.clear()
        net.settle(400)
        leader = net.leader()
        assert leader is not None, "no leader after the network healed"
        assert set(leader.node.voters) == {host.replica_id for host in net.hosts.values()}
        commands = [e.command for _, e in sorted(net.applied.items()) if isinstance(e.command, str)]
        for host in net.hosts.values():
            assert host.state == commands, f"{host.name} has applied something else"


TestRaft = RaftMachine.TestCase
TestRaft.settings = settings(stateful_step_count=40)
