"""Authority, restrictions, exchange of configuration views, and entry sessions."""

from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from geraniumtrack.cli.restriction_client import EntryState, entry_states, report_by_data_centre
from geraniumtrack.coordination.entries.restriction_task import RestrictionTask
from geraniumtrack.coordination.limits.allotments import Renewal
from geraniumtrack.coordination.limits.authority import Authority
from geraniumtrack.coordination.limits.sessions import EntryRotation, SessionTable
from geraniumtrack.protocol.restriction_messages import Restriction
from geraniumtrack.sentinels import Absent
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Session
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.view import ConfigView, key_digest

FRESHNESS_S, LEASE_S, DRIFT = 6.0, 5.0, 0.01
FLEET = {"teams": [{"name": "acme", "limit": 4, "share": 1.0}]}


class Withdrawal(RuleBasedStateMachine):
    """Two entries whose confirmations and view deltas are delayed, lost, repeated and relayed.

    Guards against a key that is accepted for longer than the freshness bound after its withdrawal,
    against a view that returns to an older version, and against a data centre that stays out of
    service at an entry after it was returned to service.
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
        self.sent_renewals = []
        self.confirmations = []
        self.relays = []
        self.deltas = []
        for entry in (0, 1):
            self.install(entry, (0, self.state.version, self.state.delta(0)))

    def install(self, entry, delta):
        since, version, changes = delta
        if self.views[entry].install(since=since, version=version, delta=changes):
            self.authorities[entry].set_view_version(version)

    @rule(elapsed_s=st.sampled_from([0.1, 1.0, 4.0]))
    def time_passes(self, elapsed_s):
        self.now += elapsed_s

    @rule(entry=st.integers(0, 1))
    def send_renewal(self, entry):
        self.sent_renewals.append((entry, self.now))

    @precondition(lambda self: self.sent_renewals)
    @rule(data=st.data())
    def leader_confirms(self, data):
        entry, sent_at = data.draw(st.sampled_from(self.sent_renewals))
        self.confirmations.append((entry, sent_at, self.state.version))

    @precondition(lambda self: self.confirmations)
    @rule(data=st.data())
    def confirmation_arrives(self, data):
        entry, sent_at, version = data.draw(st.sampled_from(self.confirmations))
        self.authorities[entry].record_confirmation(
            sent_at=sent_at, lease_s=LEASE_S, version=version
        )

    @rule(entry=st.integers(0, 1), delay_s=st.sampled_from([0.0, 0.5, 3.0]))
    def relay_authority(self, entry, delay_s):
        """An entry asks its peer for its authority; the answer may be delayed or lost."""
        asked_at = self.now
        age_s = self.authorities[1 - entry].age(self.now)
        self.relays.append((entry, asked_at, age_s, self.views[1 - entry].version))
        self.now += delay_s

    @precondition(lambda self: self.relays)
    @rule(data=st.data())
    def relayed_authority_arrives(self, data):
        entry, asked_at, age_s, version = data.draw(st.sampled_from(self.relays))
        self.authorities[entry].record_relayed(asked_at=asked_at, age_s=age_s, version=version)

    @rule(entry=st.integers(0, 1), from_peer=st.booleans())
    def fetch_view(self, entry, from_peer):
        since = self.views[entry].version
        source = self.views[1 - entry] if from_peer else self.state
        self.deltas.append((entry, (since, source.version, source.delta(since))))

    @rule(entry=st.integers(0, 1), versions_back=st.integers(0, 2))
    def push_delta(self, entry, versions_back):
        """A controller sends the changes since a version that the entry may not have."""
        since = max(0, self.state.version - versions_back)
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

    @rule(evacuated=st.booleans())
    def other_change(self, evacuated):
        self.state.apply(cmd.SetDataCentre(f"op{self.state.version}", "dc1", not evacuated))

    @invariant()
    def withdrawn_key_is_rejected_within_the_freshness_bound(self):
        for view, authority in zip(self.views, self.authorities, strict=True):
            accepted = bool(view.team_of("secret")) and authority.age(self.now) <= FRESHNESS_S
            if self.withdrawn_at is not None and self.now - self.withdrawn_at > FRESHNESS_S:
                assert not accepted

    @invariant()
    def view_matches_its_version_and_never_goes_back(self):
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


def make_state():
    state = ReplicatedState()
    fleet = FLEET | {"data_centres": [{"name": "dc1"}], "pools": [{"name": "proofs"}]}
    assert state.apply(cmd.ApplyFleet("op", 0, fleet)).ok
    assert state.apply(cmd.IssueKey("k", "key", "acme", key_digest("secret"))).ok
    assert state.apply(cmd.AdmitInstance("t1", "proofs", "dc1", "r1")).ok
    return state


def test_restriction_applies_at_once_and_ends_once_the_view_contains_it():
    """Guards against a restriction that waits for a commit, or that outlasts a later change.

    Once the view contains the committed restriction, later commands decide: here the data centre is
    returned to service, and a delayed copy of the restriction must not evacuate it again.
    """
    state = make_state()
    view = view_of(state)
    for kind, name in (("key", "key"), ("data_centre", "dc1"), ("target", "t1")):
        assert view.restrict(Restriction(f"op-{kind}", kind, name))
    assert not view.team_of("secret")
    assert not view.in_service("dc1")
    assert view.instance("t1").drained
    committed = state.apply(cmd.SetDataCentre("op-data_centre", "dc1", False)).version
    state.apply(cmd.SetDataCentre("return", "dc1", True))
    view.install(since=view.version, version=state.version, delta=state.delta(view.version))
    assert not view.in_service("dc1")
    view.restrict(Restriction("op-data_centre", "data_centre", "dc1", version=committed))
    assert view.in_service("dc1")
    view.restrict(Restriction("op-data_centre", "data_centre", "dc1"))  # delayed copy from a peer
    assert view.in_service("dc1")


def test_refused_restriction_does_not_read_as_applied_when_it_is_resent():
    """Guards against an operator who is told that a key is withdrawn here, but it is not."""
    state = make_state()
    view = view_of(state)
    controllers = SimpleNamespace(
        propose=lambda command, timeout_s: succeed(state.apply(command)),
    )
    peers = SimpleNamespace(broadcast=lambda message: None)
    task = RestrictionTask(
        Clock(), view=view, controllers=controllers, peers=peers, on_change=lambda: None
    )
    unknown = Restriction("op-unknown", "key", "no-such-key")
    assert task.apply(unknown) is True  # refused by the controllers, which answer at once
    assert not view.restrictions.in_force("op-unknown")
    assert task.apply(unknown) == Absent("restriction_refused")
    known = Restriction("op-known", "key", "key")
    assert task.apply(known) is True
    assert task.apply(known) is True
    assert view.restrictions.in_force("op-known")


def test_outdated_view_learns_of_removals_from_a_peer():
    """Guards against a removed team or key that stays valid at an entry with an old view.

    A peer's delta must list removed names too, since the entry merges it into its view.
    """
    state = make_state()
    outdated, peer = view_of(state), view_of(state)
    smaller_fleet = {"teams": [], "data_centres": [{"name": "dc1"}], "pools": [{"name": "proofs"}]}
    assert state.apply(cmd.ApplyFleet("op2", state.version, smaller_fleet)).ok
    peer.install(since=peer.version, version=state.version, delta=state.delta(peer.version))
    outdated.install(
        since=outdated.version, version=peer.version, delta=peer.delta(outdated.version)
    )
    assert outdated.sections == state.view
    assert not outdated.team_of("secret")


def test_restriction_is_in_force_only_where_confirmed_or_after_authority_expired():
    """Guards against reporting a restriction as in force where an entry may not apply it yet.

    An entry that does not answer counts only if it reported the version to the leader. An entry of
    unknown data centre may be in any of them. Once all authority from before the restriction has
    expired, no entry can ignore it, so it is in force everywhere without confirmation.
    """
    data_centres = {"http://1": "dc1", "http://2": "dc2"}
    status = {"name": "e1a", "data_centre": "dc1", "version": 4, "operation_in_force": True}
    states = entry_states({"http://1": status, "http://2": {}}, {}, None, data_centres)
    results = report_by_data_centre(states, ["dc1", "dc2", "dc3"])
    assert {name: result["in_force"] for name, result in results.items()} == {
        "dc1": True,
        "dc2": False,
        "dc3": False,
    }
    leader = {"entries": {"e2a": 7}, "entry_data_centres": {"e2a": "dc2"}}
    states = entry_states({"http://1": status, "http://2": {}}, leader, 7, data_centres)
    assert report_by_data_centre(states, ["dc1", "dc2"])["dc2"]["in_force"]
    states = entry_states({"http://1": status, "http://2": {}}, leader, 8, data_centres)
    assert not report_by_data_centre(states, ["dc1", "dc2"])["dc2"]["in_force"]
    unlocated = [EntryState("e1a", "dc1", True), EntryState("http://9", "", False)]
    assert not report_by_data_centre(unlocated, ["dc1"])["dc1"]["in_force"]
    assert report_by_data_centre(unlocated, ["dc1"], authority_expired=True)["dc1"]["in_force"]


def controller_settings():
    peer = {"host": "127.0.0.1", "port": 1, "name": "c1", "data_centre": "dc1"}
    listen = {"host": "127.0.0.1", "port": 1}
    return ControllerSettings.model_validate(
        {"kind": "controller", "name": "c1", "data_centre": "dc1", "controllers": [peer]}
        | {"peer_listen": listen, "http_listen": listen}
        | {"secret_file": "/secret", "data_folder": "/data"}
    )


class Sessions(RuleBasedStateMachine):
    """A leader that closes sessions, an entry whose renewals are delayed, and its tasks.

    Guards against allotments that are freed while the entry may still start tasks, or while one of
    its tasks still has a lease at a target.
    """

    def __init__(self):
        super().__init__()
        self.table = SessionTable(cfg=controller_settings(), now=0.0)
        self.authority = Authority(clock_drift=DRIFT)
        self.now = 0.0
        self.sent = []
        self.replies = []
        self.task_lease_ends = float("-inf")
        self.close_state = False  # False, "begun" or True
        self.sessions = {"e1": Session("e1", "s1", "dc1")}

    @rule(elapsed_s=st.sampled_from([0.5, 2.0, 4.9, 9.0, 10.0]))
    def time_passes(self, elapsed_s):
        self.now += elapsed_s

    @rule(
        request_delay_s=st.sampled_from([0.0, 0.5, 4.0]),
        reply_delay_s=st.sampled_from([0.0, 0.5, 4.0]),
    )
    def renew(self, request_delay_s, reply_delay_s):
        sent_at = self.now
        self.sent.append(sent_at)
        self.now += request_delay_s
        if not self.is_closed() and self.table.mark_renewed("s1", self.now):
            self.replies.append(sent_at)
            self.now += reply_delay_s
            self.authority.record_confirmation(sent_at=sent_at, lease_s=LEASE_S, version=0)

    def is_closed(self):
        return self.close_state is True

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def renewal_confirmed(self, data):
        sent_at = data.draw(st.sampled_from(self.sent))
        if not self.is_closed() and self.table.mark_renewed("s1", self.now):
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
    def leader_closes_session(self):
        self.leader_starts_close()
        self.close_is_committed()

    @rule()
    def leader_starts_close(self):
        for session in self.table.expired(self.sessions, self.now):
            self.table.mark_closing(session.session)
            self.close_state = "begun"

    @rule()
    def close_is_committed(self):
        if self.close_state == "begun":
            self.close_state = True
            self.table.remove("s1")

    @invariant()
    def no_task_runs_after_the_close(self):
        if self.close_state is True:
            assert not self.authority.session_valid(self.now)
            assert self.task_lease_ends <= self.now


Sessions.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestSessions = Sessions.TestCase


def test_entries_rotate_when_the_limit_is_below_one_task_each():
    """Guards against an entry that never runs a task because others hold the whole limit."""
    rotation = EntryRotation()
    renewals = [Renewal(name, name, 1, {"acme": 9}, {}) for name in ("e1", "e2", "e3")]
    held = {"e1": 1}
    assert rotation.order("acme", held=held, renewals=renewals, now=0.0) == ["e1"]
    assert rotation.order("acme", held=held, renewals=renewals, now=1.5) == ["e2", "e3", "e1"]
    held = {"e2": 1}
    assert rotation.order("acme", held=held, renewals=renewals, now=1.6) == ["e3", "e2"]
