"""Client of the operator interface of controllers and entries, used by the command line."""

from __future__ import annotations

import http.client
import json
import time
import urllib.error
import urllib.parse
import urllib.request
import uuid
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict

from geraniumtrack.errors import GeraniumtrackError, SettingsError
from geraniumtrack.protocol.address import operator_token
from geraniumtrack.settings import read_secret

__all__ = ["OperatorClient", "OperatorSettings", "QueryRefused", "Unavailable"]

TIMEOUT_S = 5.0
ROUNDS = 5  # of requests to all controllers, enough to outlast an election


class Unavailable(GeraniumtrackError):
    """No leading controller could be reached, or it failed with an internal error."""


class QueryRefused(GeraniumtrackError):
    """The controllers refused a query, for example because the secret is another one."""


class OperatorSettings(BaseModel):
    """Settings of the command line: addresses as `http://IP:port`.

    `entry_data_centres` holds the data centres of entries by address, so that an entry that does
    not answer leaves only its own data centre unconfirmed. `key_freshness_s` is the longest one in
    the settings of any entry.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    controllers: list[str]
    entries: list[str] = []
    entry_data_centres: dict[str, str] = {}
    key_freshness_s: float = 6.0
    secret_file: Path
    operator: str = "operator"


class OperatorClient:
    """Sends commands and queries to the controller that leads.

    Args:
        cfg: Settings of the command line.
    """

    def __init__(self, cfg: OperatorSettings) -> None:
        self.cfg = cfg
        self._token = operator_token(read_secret(cfg.secret_file))

    @classmethod
    def from_file(cls, path: str) -> OperatorClient:
        """Reads the settings file of the command line.

        Raises:
            SettingsError: If the file or the secret cannot be used.
        """
        try:
            return cls(OperatorSettings.model_validate_json(Path(path).read_text()))
        except (OSError, ValueError) as exc:
            raise SettingsError(f"{path} cannot be used: {exc}", remedy="correct the file") from exc

    def command(
        self, path: str, body: dict[str, Any], *, operation_id: str = ""
    ) -> tuple[int, dict[str, Any]]:
        """Sends a command under an operation id, which stays the same when it is resent.

        Args:
            path: Path of the operator interface.
            body: Body without the operation id.
            operation_id: Id of an earlier attempt at the same command; a new one if empty.

        Returns:
            HTTP status and reply.

        Raises:
            Unavailable: If no leading controller could be reached, or it failed with an internal
                error.
        """
        body = {"operation_id": operation_id or uuid.uuid4().hex, **body}
        return self._request_leader("POST", path, body)

    def view(self) -> dict[str, Any]:
        """Returns the configuration view.

        Raises:
            Unavailable: If no leading controller could be reached.
            QueryRefused: If the controllers refused the query. Both also hold for `maintenance` and
                `explain`.
        """
        return self._query("/v1/view")

    def maintenance(self) -> dict[str, Any]:
        """Returns the maintenance campaign."""
        return self._query("/v1/maintenance")

    def explain(self, subject: str) -> dict[str, Any]:
        """Explains a subject from recorded events."""
        query = urllib.parse.urlencode({"subject": subject})
        return self._query(f"/v1/events?{query}")

    def placement(self, body: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Asks a controller of jobs where a job would go; returns HTTP status and reply.

        Args:
            body: `job`, or `queue`, `team` and `steps`.

        Raises:
            Unavailable: If no controller could be reached.
        """
        return self._request_leader("POST", "/v1/placement", body)

    def statuses(self) -> list[dict[str, Any]]:
        """Returns the status of each controller.

        A controller that does not answer with HTTP status 200 is listed with the error
        `unreachable` instead.
        """
        statuses = []
        for url in self.cfg.controllers:
            status, body = self.request(url, "GET", "/v1/status", None)
            statuses.append(body if status == 200 else {"name": url, "error": "unreachable"})
        return statuses

    def _query(self, path: str) -> dict[str, Any]:
        status, reply = self._request_leader("GET", path, None)
        if status != 200:
            reason = reply.get("error", f"status {status}")
            raise QueryRefused(
                f"the controllers refused {path}: {reason}",
                remedy=reply.get("message") or "check the addresses and secret_file",
            )
        return reply

    def _request_leader(self, method: str, path: str, body: Any) -> tuple[int, dict[str, Any]]:
        for attempt in range(ROUNDS):
            for url in self.cfg.controllers:
                status, reply = self.request(url, method, path, body)
                if status not in (0, 421, 500):  # no answer, not the leader, internal error
                    return status, reply
            time.sleep(0.3 * (attempt + 1))
        raise Unavailable(
            "no leading controller could be reached",
            remedy="check that a majority of the controllers runs",
        )

    def request(
        self, url: str, method: str, path: str, body: Any, *, timeout_s: float = TIMEOUT_S
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request to one process.

        Returns:
            HTTP status and reply; status 0 if there is no answer.
        """
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self._token}", "Content-Type": "application/json"}
        req = urllib.request.Request(url + path, data=data, headers=headers, method=method)
        try:
            with urllib.request.urlopen(req, timeout=timeout_s) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as exc:
            return exc.code, _json_object(exc)
        except (OSError, ValueError, http.client.HTTPException):
            return 0, {}


def _json_object(response: Any) -> dict[str, Any]:
    """Returns the body of a refusal, empty if it cannot be read or is no JSON object."""
    try:
        body = json.loads(response.read())
    except (OSError, ValueError, http.client.HTTPException):
        return {}
    return body if isinstance(body, dict) else {}
