"""Client of the platform's machine API."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.defer import Deferred, inlineCallbacks

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.instances.machine_port import (
    ORDER_TIMEOUT_S,
    ChangeOutcome,
    Instance,
    InstanceList,
    InstanceState,
)
from geraniumtrack.platform.boot import BootSettings, parse_address
from geraniumtrack.platform.json_list import JsonList, describe_row, read_json_list
from geraniumtrack.platform.wire import DECODE_ERRORS, encode_json
from geraniumtrack.transport.http_client import HttpClient, Response

__all__ = ["MachineClient"]

LIST_TIMEOUT_S = 1.5  # for one page
MAX_PAGES = 100  # listing fails if there are more
MAX_AMOUNT = 2**31 - 1  # thousandths of a core, or MB, of one instance

_STATES = {
    "up": InstanceState.UP,
    "moving": InstanceState.MOVING,
    "upkeep": InstanceState.MAINTENANCE,
    "down": InstanceState.DOWN,
}
# Outcomes of an order by the reason in a reply with status 409.
_CONFLICTS = {
    "fence": ChangeOutcome.FENCED,
    "busy": ChangeOutcome.BUSY,
    "wave": ChangeOutcome.NOT_IN_CAMPAIGN,
}


class MachineClient:
    """Implements `MachinePort`.

    Args:
        reactor: Twisted reactor.
        boot: Settings with the name of this machine and the address of the machine API.
    """

    def __init__(self, reactor: Any, boot: BootSettings) -> None:
        self._client = HttpClient(reactor, parse_address(boot.machines.address))
        self._node = boot.node

    @inlineCallbacks
    def instances(self) -> Any:
        """Lists all instances.

        Entries that cannot be read are left out. The Deferred fires with None if a page cannot be
        read or there are more than `MAX_PAGES`.
        """
        instances: list[Instance] = []
        token = ""
        complete = True
        for number in range(MAX_PAGES):
            path = f"/machines?pageToken={token}" if token else "/machines"
            try:
                response = yield self._client.call("GET", path, timeout_s=LIST_TIMEOUT_S)
                if response.status != 200:
                    logs.event("instances_unread", status=response.status)
                    return None
                page = read_json_list(response.body, "machines")
                decoded = _decode_instances(page)
                instances += decoded
                complete &= number == 0 and len(decoded) == len(page.rows) + len(page.unreadable)
                token = _typed(page.fields.get("nextPageToken") or "", str)
            except (CallFailed, *DECODE_ERRORS) as exc:
                logs.event("instances_unread", detail=repr(exc))
                return None
            if not token:
                return InstanceList(tuple(instances), complete)
        return None

    def move(
        self, instance: str, pool: str, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Moves an instance to a pool; returns a Deferred of a ChangeOutcome."""
        body = {"machine": instance, "pool": pool}
        return self._send_order("/machine-move", body, fence, may_send)

    def maintain(
        self, instance: str, campaign: int, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Starts the maintenance of an instance; returns a Deferred of a ChangeOutcome."""
        body = {"machine": instance, "wave": campaign}
        return self._send_order("/machine-upkeep", body, fence, may_send)

    def _send_order(
        self, path: str, body: dict, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        headers = {
            "Geraniumtrack-Duty-Holder": self._node,
            "Geraniumtrack-Fencing-Token": str(fence),
        }
        fut = self._client.call(
            "POST",
            path,
            body=encode_json(body),
            headers=headers,
            timeout_s=ORDER_TIMEOUT_S,
            may_send=may_send,
        )
        return fut.addCallbacks(_change_outcome, _failure_outcome)


def _decode_instances(page: JsonList) -> list[Instance]:
    """Decodes the entries of a page; leaves out those that cannot be read."""
    for detail in page.unreadable:
        logs.warn("instance_unreadable", detail=detail)
    instances = []
    for row in page.rows:
        try:
            instances.append(_decode_instance(row))
        except DECODE_ERRORS as exc:
            logs.warn("instance_unreadable", detail=describe_row(row, repr(exc)))
    return instances


def _decode_instance(row: dict) -> Instance:
    labels = _typed(row.get("labels") or [], list)
    return Instance(
        id=_typed(row["machine"], str),
        pool=_typed(row["pool"], str),
        state=_STATES.get(_typed(row["state"], str), InstanceState.UNKNOWN),
        data_centre=_typed(row["zone"], str),
        rack=labels[1] if len(labels) > 1 else "",
        cpu=_amount(row["capacity"]["cpu"]),
        memory_mb=_amount(row["capacity"]["memMb"]),
        labels=tuple(_typed(label, str) for label in labels),
        worker=_typed(row.get("id") or "", str),
    )


def _typed(value: Any, expected: type) -> Any:
    if type(value) is not expected:
        raise TypeError(f"{type(value).__name__} instead of {expected.__name__}")
    return value


def _amount(value: Any) -> int:
    """Returns an amount of a resource; raises an error unless an instance can have it."""
    if not 0 <= _typed(value, int) <= MAX_AMOUNT:
        raise ValueError(f"{value} is not from 0 to {MAX_AMOUNT}")
    return value


def _change_outcome(response: Response) -> ChangeOutcome:
    if response.status == 200:
        return ChangeOutcome.DONE
    if response.status == 400:
        return ChangeOutcome.IMPOSSIBLE
    if response.status == 429:
        return ChangeOutcome.LIMITED
    if response.status == 409:
        try:
            return _CONFLICTS[orjson.loads(response.body)["reason"]]
        except DECODE_ERRORS as exc:
            logs.warn("order_answer_unreadable", detail=repr(exc))
    return ChangeOutcome.UNCLEAR


def _failure_outcome(failure: Any) -> ChangeOutcome:
    failure.trap(CallFailed)
    # An order that was not sent has no effect and may be repeated, like one over the rate limit.
    return ChangeOutcome.UNCLEAR if failure.value.sent else ChangeOutcome.LIMITED
