"""Journal and data folder: recovery after crashes, and refusal of damaged files."""

import os
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import cbor2
import pytest
from twisted.internet.task import Clock

from geraniumtrack.coordination.consensus.raft_types import RaftConfig, SnapshotImage
from geraniumtrack.coordination.consensus.replicator import Replicator
from geraniumtrack.errors import JournalCorrupt
from geraniumtrack.protocol.codec import DATA_CLASS_TAG, encode
from geraniumtrack.state.commands import OpenClaim
from geraniumtrack.state.journal import AppendEntry, HardState, Journal, LogEntry, frame
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.store import Store, init_folder

RECORDS = [AppendEntry(LogEntry(i, 1, f"command {i}")) for i in range(1, 6)]


@pytest.fixture
def folder(tmp_path):
    init_folder(tmp_path, name="a", peers=["a", "b", "c"])
    store = Store(tmp_path, name="a")
    store.recover()
    for record in RECORDS:
        store.append([record])
    store.close()
    return tmp_path


def recover(folder):
    """Returns what a restarted controller recovers from its data folder."""
    store = Store(folder, name="a")
    try:
        return store.recover()
    finally:
        store.close()


def damage(path, offset):
    """Inverts one byte of a file."""
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


def test_incomplete_last_record_is_truncated_at_every_length(folder):
    """Guards against a replica that cannot restart after a crash during a write of its journal."""
    data = (folder / "journal").read_bytes()
    # The last batch has a header of 12 bytes.
    last_start = len(data) - 12 - len(encode([RECORDS[-1]]))
    for length in range(last_start, len(data)):
        (folder / "journal").write_bytes(data[:length])
        store = Store(folder, name="a")
        assert len(store.recover().entries) == 4
        store.append([RECORDS[-1]])
        store.close()
        assert len(recover(folder).entries) == 5


def test_damage_in_the_middle_is_refused_at_every_byte(folder):
    """Guards against silently dropping synced records.

    Damage before the last record must not be mistaken for an incomplete write, which is truncated.
    """
    data = (folder / "journal").read_bytes()
    # The last batch has a header of 12 bytes.
    last_start = len(data) - 12 - len(encode([RECORDS[-1]]))
    for offset in range(last_start):
        (folder / "journal").write_bytes(data)
        damage(folder / "journal", offset)
        with pytest.raises(JournalCorrupt, match=r"journal is damaged at byte \d+.*empty the data"):
            recover(folder)


def test_journal_that_is_missing_or_empty_is_refused(folder):
    """Guards against a second vote in the same term.

    The replica kept its identity, but lost the journal with its recorded vote.
    """
    os.truncate(folder / "journal", 0)
    with pytest.raises(JournalCorrupt, match="missing or empty"):
        recover(folder)
    (folder / "journal").unlink()
    with pytest.raises(JournalCorrupt, match="missing or empty"):
        recover(folder)


@pytest.mark.parametrize("name", ["snapshot", "identity.json"])
def test_error_names_the_damaged_file(folder, name):
    """Guards against a start with a wrong identity, or without the state of the snapshot."""
    store = Store(folder, name="a")
    store.recover()
    store.write_snapshot(3, 1, ("a.0",), {"version": 1})
    store.adopt_snapshot(RECORDS[3:])
    store.close()
    assert [entry.index for entry in recover(folder).entries] == [4, 5]
    damage(folder / name, 0)
    with pytest.raises(JournalCorrupt, match=name):
        recover(folder)


UNKNOWN_TYPE = cbor2.dumps(cbor2.CBORTag(DATA_CLASS_TAG, ["TypeOfALaterVersion", []]))
OTHER_SNAPSHOTS = {
    "unknown type": UNKNOWN_TYPE,
    "no voters": encode({"index": 3, "term": 1, "data": b""}),
    "not a map": encode([3, 1]),
    "state of unknown type": encode(
        {"index": 3, "term": 1, "voters": ["a.0"], "data": UNKNOWN_TYPE}
    ),
    "state without a section": encode(
        {"index": 3, "term": 1, "voters": ["a.0"], "data": encode({"version": 1})}
    ),
    "empty state": encode({"index": 3, "term": 1, "voters": ["a.0"], "data": b""}),
}


def make_replicator(folder):
    cfg = SimpleNamespace(
        name="a", controllers=(), election_min_s=1.0, election_max_s=2.0, heartbeat_s=0.25,
        clock_drift=0.0, replace_after_s=9.0, max_voters=3, snapshot_entries=100, group_commit=True,
    )  # fmt: skip
    store = Store(folder, name="a")
    return Replicator(
        Clock(), cfg=cfg, store=store, send=lambda *_: None, on_applied=lambda *_: None
    )


@pytest.mark.parametrize("body", OTHER_SNAPSHOTS.values(), ids=OTHER_SNAPSHOTS.keys())
def test_snapshot_of_another_version_is_refused_with_a_remedy(folder, body):
    """Guards against an operator who is not told what to do after a change of the version."""
    (folder / "snapshot").write_bytes(frame(body))
    with pytest.raises(JournalCorrupt) as raised:
        make_replicator(folder)
    assert "run the version that wrote it" in raised.value.remedy


def test_snapshot_of_the_leader_that_cannot_be_loaded_does_not_replace_the_last_one(folder):
    """Guards against a controller that cannot start again, since the leader has another version."""
    replicator = make_replicator(folder)
    image = SnapshotImage(3, 1, ("a.0",), encode({"version": 1}))
    with pytest.raises(JournalCorrupt):
        replicator._persist(SimpleNamespace(snapshot=image, records=[]))
    content = recover(folder)
    assert (content.snapshot_index, len(content.entries)) == (0, 5)


def test_crash_between_snapshot_and_journal_drops_conflicting_entries(folder, monkeypatch):
    """Guards against recovering log entries that conflict with an installed snapshot.

    The entries after the snapshot position came from an earlier leader and were never committed.
    The process crashed after writing a later leader's snapshot and before replacing the journal.
    """
    store = Store(folder, name="a")
    store.recover()
    monkeypatch.setattr(Journal, "replace", lambda self, keep: None)
    store.install_snapshot(index=3, term=2, voters=("a.0",), data=b"", keep=[])
    store.close()
    content = recover(folder)
    assert (content.snapshot_index, content.snapshot_term, content.entries) == (3, 2, [])


def test_own_snapshot_has_no_effect_before_it_is_adopted(folder):
    """Guards against a snapshot that takes effect while its journal entries are still in use.

    The process crashed after writing its own snapshot and before adopting it.
    """
    store = Store(folder, name="a")
    store.recover()
    store.write_snapshot(3, 1, ("a.0",), {"version": 1})
    store.append([HardState(4, "b.0")])
    store.close()
    content = recover(folder)
    assert (content.snapshot_index, len(content.entries), content.hard_state.term) == (0, 5, 4)


def test_snapshot_of_a_large_state_does_not_delay_heartbeats(folder):
    """Guards against elections caused by a leader that is blocked while encoding its state.

    Encoding a large state takes seconds, so it is done in another thread. The main thread must
    never be delayed for as long as the heartbeat interval.
    """
    state = ReplicatedState()
    for number in range(100_000):
        state.apply(OpenClaim("acme", f"request-{number}", bytes(32), "e1a", "s", 1.0, "a"))
    store = Store(folder, name="a")
    store.recover()
    started_at = time.monotonic()
    captured = state.capture()
    gaps = [time.monotonic() - started_at]
    writer = threading.Thread(target=store.write_snapshot, args=(5, 1, ("a.0",), captured))
    writer.start()
    while writer.is_alive():
        started_at = time.monotonic()
        time.sleep(0.005)
        gaps.append(time.monotonic() - started_at)
    store.close()
    print(f"longest gap {max(gaps):.3f} s, total {sum(gaps):.3f} s")
    assert max(gaps) < RaftConfig().heartbeat_s
    # Capture and write together took more than twice as long as the longest gap, so neither of them
    # blocked the main thread for most of that time.
    assert sum(gaps) > 2 * max(gaps)


FULL_DISK_CONTROLLER = """
import os, sys
from pathlib import Path
from types import SimpleNamespace
from twisted.internet import reactor
from geraniumtrack.coordination.consensus.replicator import Replicator
from geraniumtrack.daemon import run_daemon
from geraniumtrack.state.store import Store

store = Store(Path(sys.argv[1]), name="a")
cfg = SimpleNamespace(
    name="a", controllers=(), election_min_s=0.1, election_max_s=0.2, heartbeat_s=0.05,
    clock_drift=0.0, replace_after_s=9.0, max_voters=3, snapshot_entries=100, group_commit=True,
)
replicator = Replicator(
    reactor, cfg=cfg, store=store, send=lambda *_: None, on_applied=lambda *_: None
)
# From here on each write fails as on a full disk; the first one is the vote of the election.
os.dup2(os.open("/dev/full", os.O_WRONLY), store._journal._file.fileno())


class Daemon:
    stop = staticmethod(replicator.stop)
    failure = property(lambda self: replicator.failure)

    def start(self):
        from twisted.internet.defer import maybeDeferred
        return maybeDeferred(replicator.start)


sys.exit(run_daemon(Daemon()))
"""


def test_a_controller_whose_disk_is_full_ends_so_that_it_can_be_restarted(tmp_path):
    """Guards against a process that neither serves nor ends once its disk refuses a write."""
    init_folder(tmp_path, name="a", peers=["a"])
    before = (tmp_path / "journal").read_bytes()
    ended = subprocess.run(
        [sys.executable, "-c", FULL_DISK_CONTROLLER, str(tmp_path)],
        capture_output=True,
        text=True,
        timeout=10,
        check=False,
    )
    assert ended.returncode == 1, ended.stderr
    assert "cannot write to the data folder" in ended.stderr
    assert "check the disk" in ended.stderr
    assert (tmp_path / "journal").read_bytes() == before
