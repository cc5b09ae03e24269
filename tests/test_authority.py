"""Authority, restrictions and view exchange: a withdrawn key, late copies, never an older view."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from geraniumtrack.coordination.allotments import Renewal
from geraniumtrack.coordination.authority import Authority
from geraniumtrack.coordination.sessions import EntryRotation, SessionTable
from geraniumtrack.protocol.restriction_messages import Restriction
from geraniumtrack.restriction_client import EntryState, entry_states, report_by_data_centre
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Session
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.view import ConfigView, key_digest

FRESHNESS_S, LEASE_S, DRIFT = 6.0, 5.0, 0.01
FLEET = {"teams": [{"name": "acme", "limit": 4, "share": 1.0}]}


class Withdrawal(RuleBasedStateMachine):
    """Two entries with late, lost and relayed confirmations and deltas; a key is withdrawn.

    Guards against a key that works longer than the freshness bound after its withdrawal, against a
    view that goes back, and against a restriction that outlives the bring-back of a data centre.
    """

    def __init__(self):
        super().__init__()
        self.state = ReplicatedState()
        self.state.apply(cmd.ApplyFleet("op", 0, FLEET | {"data_centres": [{"name": "dc1"}]}))
        self.state.apply(cmd.IssueKey("k", "key", "acme", key_digest("secret")))
        self.now = 100.0
        self.withdrawn_at = None
        self.views = [ConfigView(), ConfigView()]
        self.authorities = [Authority(clock_drift=DRIFT) for _ in self.views]
        self.versions = [0, 0]
        self.asked = []
        self.confirmations = []
        self.relays = []
        self.deltas = []
        for entry in (0, 1):
            self.install(entry, (0, self.state.version, self.state.delta(0)))

    def install(self, entry, delta):
        since, version, changes = delta
        if self.views[entry].install(since=since, version=version, delta=changes):
            self.authorities[entry].set_view_version(version)

    @rule(passed=st.sampled_from([0.1, 1.0, 4.0]))
    def time_passes(self, passed):
        self.now += passed

    @rule(entry=st.integers(0, 1))
    def send_renewal(self, entry):
        self.asked.append((entry, self.now))

    @precondition(lambda self: self.asked)
    @rule(data=st.data())
    def leader_confirms(self, data):
        entry, sent_at = data.draw(st.sampled_from(self.asked))
        self.confirmations.append((entry, sent_at, self.state.version))

    @precondition(lambda self: self.confirmations)
    @rule(data=st.data())
    def confirmation_arrives(self, data):
        entry, sent_at, version = data.draw(st.sampled_from(self.confirmations))
        self.authorities[entry].record_confirmation(
            sent_at=sent_at, lease_s=LEASE_S, version=version
        )

    @rule(entry=st.integers(0, 1), delay=st.sampled_from([0.0, 0.5, 3.0]))
    def relay(self, entry, delay):
        asked_at = self.now
        age_s = self.authorities[1 - entry].age(self.now)
        self.relays.append((entry, asked_at, age_s, self.views[1 - entry].version))
        self.now += delay

    @precondition(lambda self: self.relays)
    @rule(data=st.data())
    def relay_arrives(self, data):
        entry, asked_at, age_s, version = data.draw(st.sampled_from(self.relays))
        self.authorities[entry].record_relayed(asked_at=asked_at, age_s=age_s, version=version)

    @rule(entry=st.integers(0, 1), from_peer=st.booleans())
    def fetch(self, entry, from_peer):
        since = self.views[entry].version
        source = self.views[1 - entry] if from_peer else self.state
        self.deltas.append((entry, (since, source.version, source.delta(since))))

    @rule(entry=st.integers(0, 1), back=st.integers(0, 2))
    def controller_pushes(self, entry, back):
        """A controller sends what changed since the version that it last sent."""
        since = max(0, self.state.version - back)
        self.deltas.append((entry, (since, self.state.version, self.state.delta(since))))

    @precondition(lambda self: self.deltas)
    @rule(data=st.data())
    def delta_arrives(self, data):
        entry, delta = data.draw(st.sampled_from(self.deltas))
        self.install(entry, delta)

    @rule()
    def withdraw(self):
        if self.withdrawn_at is None:
            self.state.apply(cmd.WithdrawKey("w", "key"))
            self.withdrawn_at = self.now

    @rule(taken_out=st.booleans())
    def other_change(self, taken_out):
        self.state.apply(cmd.SetDataCentre(f"op{self.state.version}", "dc1", not taken_out))

    @invariant()
    def key_ends_within_the_bound(self):
        for view, authority in zip(self.views, self.authorities, strict=True):
            works = bool(view.team_of("secret")) and authority.age(self.now) <= FRESHNESS_S
            if self.withdrawn_at is not None and self.now - self.withdrawn_at > FRESHNESS_S:
                assert not works

    @invariant()
    def view_is_that_of_its_version_and_never_older(self):
        for position, view in enumerate(self.views):
            assert view.version >= self.versions[position]
            self.versions[position] = view.version
            if view.version == self.state.version:
                assert view.sections == self.state.view


Withdrawal.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestWithdrawal = Withdrawal.TestCase


def view_of(state):
    view = ConfigView()
    view.install(since=0, version=state.version, delta=state.delta(0))
    return view


def small_state():
    state = ReplicatedState()
    fleet = FLEET | {"data_centres": [{"name": "dc1"}], "pools": [{"name": "proofs"}]}
    assert state.apply(cmd.ApplyFleet("op", 0, fleet)).ok
    assert state.apply(cmd.IssueKey("k", "key", "acme", key_digest("secret"))).ok
    assert state.apply(cmd.AdmitInstance("t1", "proofs", "dc1", "r1")).ok
    return state


def test_restrictions_are_in_force_at_once_and_end_with_the_view():
    """Guards against a restriction that waits for the controllers or outlives the bring-back."""
    state = small_state()
    view = view_of(state)
    for kind, name in (("key", "key"), ("data_centre", "dc1"), ("target", "t1")):
        assert view.restrict(Restriction(f"op-{kind}", kind, name))
    assert not view.team_of("secret")
    assert not view.in_service("dc1")
    assert view.instance("t1").drained
    committed = state.apply(cmd.SetDataCentre("op-data_centre", "dc1", False)).version
    state.apply(cmd.SetDataCentre("back", "dc1", True))
    view.install(since=view.version, version=state.version, delta=state.delta(view.version))
    assert not view.in_service("dc1")
    view.restrict(Restriction("op-data_centre", "data_centre", "dc1", version=committed))
    assert view.in_service("dc1")
    view.restrict(Restriction("op-data_centre", "data_centre", "dc1"))  # a late copy of a peer
    assert view.in_service("dc1")


def test_restarted_entry_learns_removed_names_from_a_peer():
    """Guards against a team or key that comes back to life through a peer's view."""
    state = small_state()
    old, peer = view_of(state), view_of(state)
    smaller = {"teams": [], "data_centres": [{"name": "dc1"}], "pools": [{"name": "proofs"}]}
    assert state.apply(cmd.ApplyFleet("op2", state.version, smaller)).ok
    peer.install(since=peer.version, version=state.version, delta=state.delta(peer.version))
    old.install(since=old.version, version=peer.version, delta=peer.delta(old.version))
    assert old.sections == state.view
    assert not old.team_of("secret")


def test_report_claims_nothing_that_no_entry_confirmed():
    """Guards against "in force" for a data centre that was not heard."""
    homes = {"http://1": "dc1", "http://2": "dc2"}
    said = {"name": "e1a", "data_centre": "dc1", "version": 4, "operation_in_force": True}
    states = entry_states({"http://1": said, "http://2": {}}, {}, None, homes)
    places = report_by_data_centre(states, ["dc1", "dc2", "dc3"])
    assert {name: place["in_force"] for name, place in places.items()} == {
        "dc1": True,
        "dc2": False,
        "dc3": False,
    }
    leader = {"entries": {"e2a": 7}, "entry_data_centres": {"e2a": "dc2"}}
    states = entry_states({"http://1": said, "http://2": {}}, leader, 7, homes)
    assert report_by_data_centre(states, ["dc1", "dc2"])["dc2"]["in_force"]
    states = entry_states({"http://1": said, "http://2": {}}, leader, 8, homes)
    assert not report_by_data_centre(states, ["dc1", "dc2"])["dc2"]["in_force"]
    stranger = [EntryState("e1a", "dc1", True), EntryState("http://9", "", False)]
    assert not report_by_data_centre(stranger, ["dc1"])["dc1"]["in_force"]
    assert report_by_data_centre(stranger, ["dc1"], authority_expired=True)["dc1"]["in_force"]


def controller_settings():
    peer = {"host": "127.0.0.1", "port": 1, "name": "c1", "data_centre": "dc1"}
    listen = {"host": "127.0.0.1", "port": 1}
    return ControllerSettings.model_validate(
        {"kind": "controller", "name": "c1", "data_centre": "dc1", "controllers": [peer]}
        | {"peer_listen": listen, "http_listen": listen}
        | {"secret_file": "/secret", "data_folder": "/data"}
    )


class Sessions(RuleBasedStateMachine):
    """A leader that closes sessions, an entry that renews late, and its tasks at targets.

    Guards against allotments freed while the entry may still start tasks or a task still runs.
    """

    def __init__(self):
        super().__init__()
        self.table = SessionTable(cfg=controller_settings(), now=0.0)
        self.authority = Authority(clock_drift=DRIFT)
        self.now = 0.0
        self.sent = []
        self.replies = []
        self.task_lease_ends = float("-inf")
        self.closed = False
        self.sessions = {"e1": Session("e1", "s1", "dc1")}

    @rule(passed=st.sampled_from([0.5, 2.0, 4.9, 9.0, 10.0]))
    def time_passes(self, passed):
        self.now += passed

    @rule(there=st.sampled_from([0.0, 0.5, 4.0]), back=st.sampled_from([0.0, 0.5, 4.0]))
    def renew(self, there, back):
        sent_at = self.now
        self.sent.append(sent_at)
        self.now += there
        if not self.closed_for_good() and self.table.mark_renewed("s1", self.now):
            self.replies.append(sent_at)
            self.now += back
            self.authority.record_confirmation(sent_at=sent_at, lease_s=LEASE_S, version=0)

    def closed_for_good(self):
        return self.closed is True

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def renewal_confirmed(self, data):
        sent_at = data.draw(st.sampled_from(self.sent))
        if not self.closed_for_good() and self.table.mark_renewed("s1", self.now):
            self.replies.append(sent_at)

    @precondition(lambda self: self.replies)
    @rule(data=st.data())
    def reply_arrives(self, data):
        sent_at = data.draw(st.sampled_from(self.replies))
        self.authority.record_confirmation(sent_at=sent_at, lease_s=LEASE_S, version=0)

    @rule()
    def task_lease_renewed(self):
        if self.authority.session_valid(self.now):
            self.task_lease_ends = self.now + 10.0

    @rule()
    def leader_closes(self):
        self.leader_begins_to_close()
        self.close_is_committed()

    @rule()
    def leader_begins_to_close(self):
        for session in self.table.expired(self.sessions, self.now):
            self.table.mark_closing(session.session)
            self.closed = "begun"

    @rule()
    def close_is_committed(self):
        if self.closed == "begun":
            self.closed = True
            self.table.remove("s1")

    @invariant()
    def nothing_runs_after_the_close(self):
        if self.closed is True:
            assert not self.authority.session_valid(self.now)
            assert self.task_lease_ends <= self.now


Sessions.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestSessions = Sessions.TestCase


def test_entries_take_turns_where_the_limit_is_too_small():
    """Guards against an entry that never gets a task because others hold the whole limit."""
    rotation = EntryRotation()
    renewals = [Renewal(name, name, 1, {"acme": 9}, {}) for name in ("e1", "e2", "e3")]
    held = {"e1": 1}
    assert rotation.order("acme", held=held, renewals=renewals, now=0.0) == ["e1"]
    assert rotation.order("acme", held=held, renewals=renewals, now=1.5) == ["e2", "e3", "e1"]
    held = {"e2": 1}
    assert rotation.order("acme", held=held, renewals=renewals, now=1.6) == ["e3", "e2"]
