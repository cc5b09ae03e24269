"""Journal and data folder: what a crash or damage leaves is cut or refused, never guessed."""

import os
import threading
import time

import pytest

from geraniumtrack.coordination.raft import RaftConfig
from geraniumtrack.errors import JournalCorrupt
from geraniumtrack.protocol.codec import encode
from geraniumtrack.state.commands import OpenClaim
from geraniumtrack.state.journal import AppendEntry, HardState, Journal, LogEntry
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
    store = Store(folder, name="a")
    try:
        return store.recover()
    finally:
        store.close()


def damage(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


def test_every_torn_tail_is_cut_and_can_be_appended_to(folder):
    """Guards against a replica that cannot restart after a crash in the middle of a write."""
    data = (folder / "journal").read_bytes()
    last = len(data) - 12 - len(encode([RECORDS[-1]]))
    for length in range(last, len(data)):
        (folder / "journal").write_bytes(data[:length])
        store = Store(folder, name="a")
        assert len(store.recover().entries) == 4
        store.append([RECORDS[-1]])
        store.close()
        assert len(recover(folder).entries) == 5


def test_damage_in_the_middle_is_refused_at_every_byte(folder):
    """Guards against a journal that is silently shortened to before the damage."""
    data = (folder / "journal").read_bytes()
    last = len(data) - 12 - len(encode([RECORDS[-1]]))
    for offset in range(last):
        (folder / "journal").write_bytes(data)
        damage(folder / "journal", offset)
        with pytest.raises(JournalCorrupt, match=r"journal is damaged at byte \d+.*empty the data"):
            recover(folder)


def test_journal_that_is_missing_or_empty_is_refused(folder):
    """Guards against a second vote in a term: the identity is kept, but not what it voted."""
    os.truncate(folder / "journal", 0)
    with pytest.raises(JournalCorrupt, match="missing or empty"):
        recover(folder)
    (folder / "journal").unlink()
    with pytest.raises(JournalCorrupt, match="missing or empty"):
        recover(folder)


@pytest.mark.parametrize("name", ["snapshot", "identity.json"])
def test_damaged_file_is_refused_by_name(folder, name):
    """Guards against a start with another identity or without the state."""
    store = Store(folder, name="a")
    store.recover()
    store.write_snapshot(3, 1, ("a.0",), {"version": 1})
    store.adopt_snapshot(RECORDS[3:])
    store.close()
    assert [entry.index for entry in recover(folder).entries] == [4, 5]
    damage(folder / name, 0)
    with pytest.raises(JournalCorrupt, match=name):
        recover(folder)


def test_crash_between_snapshot_and_journal(folder, monkeypatch):
    """Guards against entries of an abandoned leader behind a snapshot of its successor."""
    store = Store(folder, name="a")
    store.recover()
    monkeypatch.setattr(Journal, "replace", lambda self, keep: None)
    store.install_snapshot(index=3, term=2, voters=("a.0",), data=b"", keep=[])
    store.close()
    found = recover(folder)
    assert (found.snapshot_index, found.snapshot_term, found.entries) == (3, 2, [])


def test_own_snapshot_that_was_not_adopted_changes_nothing(folder):
    """Guards against a snapshot that takes effect while the journal is still in use."""
    store = Store(folder, name="a")
    store.recover()
    store.write_snapshot(3, 1, ("a.0",), {"version": 1})
    store.append([HardState(4, "b.0")])
    store.close()
    found = recover(folder)
    assert (found.snapshot_index, len(found.entries), found.hard_state.term) == (0, 5, 4)


def test_snapshot_of_a_large_state_leaves_time_for_heartbeats(folder):
    """Guards against elections caused by a leader that encodes its state for seconds."""
    state = ReplicatedState()
    for number in range(100_000):
        state.apply(OpenClaim("acme", f"request-{number}", bytes(32), "e1a", "s", 1.0, "a"))
    store = Store(folder, name="a")
    store.recover()
    began = time.monotonic()
    captured = state.capture()
    gaps = [time.monotonic() - began]
    writer = threading.Thread(target=store.write_snapshot, args=(5, 1, ("a.0",), captured))
    writer.start()
    while writer.is_alive():
        began = time.monotonic()
        time.sleep(0.005)
        gaps.append(time.monotonic() - began)
    store.close()
    print(f"longest gap {max(gaps):.3f} s, whole {sum(gaps):.3f} s")
    assert max(gaps) < RaftConfig().heartbeat_s
    assert sum(gaps) > 2 * max(gaps)
