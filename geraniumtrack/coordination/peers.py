"""Gossip among entries: who is live, which loads they report, which version they hold."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.task import LoopingCall

from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.protocol.messages import Gossip
from geraniumtrack.settings import EntrySettings

__all__ = ["LiveEntry", "PeerTable", "PeerTask"]

GOSSIP_S = 0.5
SUSPECT_AFTER_S = 1.5
NOT_LIVE_AFTER_S = 3.0


class LiveEntry(NamedTuple):
    """An entry and the last gossip heard of it, in seconds of the local clock."""

    name: str
    data_centre: str
    heard_at: float
    gossip: Gossip | None


class PeerTable:
    """The last gossip of each other entry. Pure: time is passed in."""

    def __init__(self) -> None:
        self._heard: dict[str, LiveEntry] = {}

    def heard(self, gossip: Gossip, now: float) -> bool:
        """Takes a gossip.

        Returns:
            Whether it was newer than what is known of this run of the entry.
        """
        known = self._heard.get(gossip.entry)
        same_run = known is not None and known.gossip.session == gossip.session
        if same_run and gossip.sequence <= known.gossip.sequence:
            return False
        self._heard[gossip.entry] = LiveEntry(gossip.entry, gossip.data_centre, now, gossip)
        return True

    def live(self, now: float) -> list[LiveEntry]:
        """Returns the entries that were heard recently and take work."""
        return [
            entry
            for entry in self._heard.values()
            if now - entry.heard_at <= NOT_LIVE_AFTER_S and entry.gossip.ready
        ]

    def all(self) -> list[LiveEntry]:
        """Returns the last gossip of every entry, however old."""
        return list(self._heard.values())

    def get(self, name: str) -> LiveEntry | None:
        """Returns the last gossip of an entry, however old."""
        return self._heard.get(name)


class PeerTask:
    """Sends and receives gossip.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        hub: Its links.
        describe: Returns the gossip to send, given its sequence number.
        on_gossip: Called with each newer gossip.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        hub: LinkHub,
        describe: Callable[[int], Gossip],
        on_gossip: Callable[[Gossip], None],
    ) -> None:
        self.table = PeerTable()
        self._reactor = reactor
        self._cfg = cfg
        self._hub = hub
        self._describe = describe
        self._on_gossip = on_gossip
        self._sequence = 0
        self._sends = LoopingCall(self.send_all)
        self._sends.clock = reactor

    def start(self) -> None:
        """Dials the other entries and begins to gossip."""
        for peer in self._cfg.entries:
            if peer.name != self._cfg.name:
                self._hub.dial(peer.name, peer.address)
        self._sends.start(GOSSIP_S, now=False)

    def stop(self) -> None:
        """Stops, after a last gossip that says so."""
        if self._sends.running:
            self._sends.stop()
            self.send_all()

    def send_all(self) -> None:
        """Sends one gossip to every entry that can be reached."""
        self._sequence += 1
        gossip = self._describe(self._sequence)
        for peer in self._cfg.entries:
            link = self._hub.link(peer.name)
            if link is not None:
                link.send(gossip)

    def received(self, gossip: Gossip) -> None:
        """Takes a gossip of another entry."""
        if self.table.heard(gossip, self._reactor.seconds()):
            self._on_gossip(gossip)

    def link(self, name: str) -> Link | None:
        """Returns the link to an entry if it is ready."""
        return self._hub.link(name)

    def live(self) -> list[LiveEntry]:
        """Returns the other entries that are live now."""
        return self.table.live(self._reactor.seconds())
