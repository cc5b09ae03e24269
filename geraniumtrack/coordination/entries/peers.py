"""Gossip among entries: which are live, their loads, and the version of their view."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.task import LoopingCall

from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.protocol.messages import FetchView, Gossip, PoolLoad, ViewDelta
from geraniumtrack.protocol.restriction_messages import RelayAuthority, RelayedAuthority
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.view import ConfigView

__all__ = ["KnownEntry", "PeerTable", "PeerTask", "must_send_loads"]

GOSSIP_INTERVAL_S = 0.5
# While loads do not change and no tasks wait, only every REMOTE_GOSSIP_ROUNDS-th gossip goes to
# other data centres too; otherwise each one does. When changed loads were limited to one gossip per
# second as well, the share error in load peaks rose by 3.4 percentage points, and 6.8% of the
# urgent requests in the scenario `night` of bench.policy were late.
REMOTE_GOSSIP_ROUNDS = 2
RELAY_AFTER_S = 1.5  # age of the controllers' authority after which peers are asked for theirs
REQUEST_TIMEOUT_S = 2.0
NOT_LIVE_AFTER_S = 3.0  # without gossip


class KnownEntry(NamedTuple):
    """Another entry and its last gossip.

    Attributes:
        name: Name of the entry.
        data_centre: Its data centre.
        heard_at: Time at which the gossip arrived, in seconds of the local clock.
        gossip: The gossip.
    """

    name: str
    data_centre: str
    heard_at: float
    gossip: Gossip | None


class PeerTable:
    """The last gossip of each other entry. It does no I/O; time is passed in."""

    def __init__(self) -> None:
        self._entries: dict[str, KnownEntry] = {}

    def store(self, gossip: Gossip, now: float) -> bool:
        """Stores the gossip of an entry if it is new.

        Returns:
            Whether it was stored; gossip of the same session that is not newer is not.
        """
        known = self._entries.get(gossip.entry)
        same_session = known is not None and known.gossip.session == gossip.session
        if same_session and gossip.sequence <= known.gossip.sequence:
            return False
        self._entries[gossip.entry] = KnownEntry(gossip.entry, gossip.data_centre, now, gossip)
        return True

    def live(self, now: float) -> list[KnownEntry]:
        """Returns the entries whose last gossip is recent and says that they accept requests."""
        return [
            entry
            for entry in self._entries.values()
            if now - entry.heard_at <= NOT_LIVE_AFTER_S and entry.gossip.ready
        ]

    def all(self) -> list[KnownEntry]:
        """Returns the last gossip of every entry, however old."""
        return list(self._entries.values())

    def get(self, name: str) -> KnownEntry | None:
        """Returns the last gossip of an entry, however old."""
        return self._entries.get(name)


def must_send_loads(loads: dict[str, PoolLoad], last_sent: dict[str, PoolLoad]) -> bool:
    """Whether loads must be sent to other data centres now.

    They must be if they differ from those sent last, or if tasks wait, since waits then change.
    """
    return loads != last_sent or any(load.queued for load in loads.values())


class PeerTask:
    """Exchanges gossip, configuration views and the controllers' authority with the other entries.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        hub: Links to the other processes.
        build_gossip: Returns the gossip to send, given its sequence number.
        on_gossip: Called with each new gossip of another entry.
        view: Configuration view, exchanged with the peers.
        controllers: Client of the controllers, whose authority is relayed among peers.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        hub: LinkHub,
        build_gossip: Callable[[int], Gossip],
        on_gossip: Callable[[Gossip], None],
        view: ConfigView,
        controllers: ControllerClient,
    ) -> None:
        self.table = PeerTable()
        self._reactor = reactor
        self._cfg = cfg
        self._hub = hub
        self._build_gossip = build_gossip
        self._on_gossip = on_gossip
        self._view = view
        self._controllers = controllers
        self._fetching_view = False
        self._sequence = 0
        self._last_remote_loads: dict[str, PoolLoad] = {}
        self._gossip_loop = LoopingCall(self.send_gossip)
        self._gossip_loop.clock = reactor

    def start(self) -> None:
        """Connects to the other entries and starts to gossip."""
        for peer in self._cfg.entries:
            if peer.name != self._cfg.name:
                self._hub.dial(peer.name, peer.address)
        self._gossip_loop.start(GOSSIP_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic gossip and sends a last one, which announces the stop."""
        if self._gossip_loop.running:
            self._gossip_loop.stop()
            self.send_gossip()

    def send_gossip(self) -> None:
        """Sends a gossip to entries of this data centre, and to all others if it is due there."""
        self._sequence += 1
        gossip = self._build_gossip(self._sequence)
        to_remote = self._sequence % REMOTE_GOSSIP_ROUNDS == 0 or not gossip.ready
        to_remote = to_remote or must_send_loads(gossip.loads, self._last_remote_loads)
        if to_remote:
            self._last_remote_loads = gossip.loads
        names = [
            peer.name
            for peer in self._cfg.entries
            if to_remote or peer.data_centre == self._cfg.data_centre
        ]
        self._hub.send_to(names, gossip)
        now = self._reactor.seconds()
        if self._controllers.authority.age(now) > RELAY_AFTER_S:
            self._request_authority(now)

    def broadcast(self, message: Any) -> None:
        """Sends a message to every other entry with a working link."""
        self._hub.send_to([peer.name for peer in self._cfg.entries], message)

    def handle_gossip(self, gossip: Gossip) -> None:
        """Handles a gossip of another entry; fetches the view if that entry holds a newer one."""
        if self.table.store(gossip, self._reactor.seconds()):
            self._on_gossip(gossip)
        if gossip.version > self._view.version and not self._fetching_view:
            self._fetch_view(gossip.entry)

    def answer_fetch(self, body: FetchView) -> ViewDelta:
        """Returns the changes of the view that a peer lacks."""
        return ViewDelta(body.since, self._view.version, self._view.delta(body.since))

    def answer_relay(self) -> RelayedAuthority:
        """Returns the authority of this entry, for a peer that cannot reach the controllers."""
        age_s = self._controllers.authority.age(self._reactor.seconds())
        return RelayedAuthority(age_s, self._view.version)

    def _links(self) -> list[Link]:
        names = [peer.name for peer in self._cfg.entries if peer.name != self._cfg.name]
        return [link for name in names if (link := self._hub.link(name)) is not None]

    def _fetch_view(self, entry: str) -> None:
        link = self._hub.link(entry)
        if link is None:
            return
        self._fetching_view = True
        fut = link.request(FetchView(self._view.version), timeout_s=REQUEST_TIMEOUT_S)
        fut.addBoth(self._on_view_reply)

    def _on_view_reply(self, reply: Any) -> None:
        self._fetching_view = False
        if isinstance(reply, ViewDelta):
            self._controllers.install(reply)

    def _request_authority(self, now: float) -> None:
        for link in self._links():
            fut = link.request(RelayAuthority(), timeout_s=REQUEST_TIMEOUT_S)
            fut.addCallbacks(self._on_authority_reply, lambda failure: None, callbackArgs=(now,))

    def _on_authority_reply(self, reply: Any, asked_at: float) -> None:
        if isinstance(reply, RelayedAuthority):
            self._controllers.authority.record_relayed(
                asked_at=asked_at, age_s=reply.age_s, version=reply.version
            )

    def link(self, name: str) -> Link | None:
        """Returns the link to an entry, or None if it is not ready."""
        return self._hub.link(name)

    def live(self) -> list[KnownEntry]:
        """Returns the other entries that are live now."""
        return self.table.live(self._reactor.seconds())
