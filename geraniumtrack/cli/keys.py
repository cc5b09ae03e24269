"""Commands for the keys of teams."""

from __future__ import annotations

import json
import secrets
import sys

from geraniumtrack.cli.operator_client import OperatorClient
from geraniumtrack.cli.output import EXIT_FAILED, command, finish, finish_restriction
from geraniumtrack.cli.restriction_client import restrict
from geraniumtrack.errors import GeraniumtrackError
from geraniumtrack.state.view import key_digest

__all__ = ["KeyCommands"]


class KeyCommands:
    """Commands that issue and withdraw keys."""

    @command
    def issue_key(
        self, team: str, *, operator: str, key_id: str = "", operation_id: str = ""
    ) -> None:
        """Issues a key and prints it; only its digest is stored, so it cannot be shown again.

        Args:
            team: Team that the key belongs to.
            operator: Path of the operator's settings file.
            key_id: Id of the key; generated if left out.
            operation_id: Id of the operation. Each call generates another key; a call with the id
                of an operation that succeeded is refused as already_issued and prints no key.
        """
        key = secrets.token_urlsafe(24)
        key_id = key_id or f"{team}-{secrets.token_hex(4)}"
        body = {"team": team, "key_id": key_id, "digest": key_digest(key).hex()}
        client = OperatorClient.from_file(operator)
        status, reply = client.command("/v1/keys", body, operation_id=operation_id)
        if status != 200:
            finish((status, reply))
        if operation_id:
            _check_issued_now(client, key_id, key, body["digest"])
        print(json.dumps({"key_id": key_id, "key": key}))

    @command
    def withdraw_key(self, key_id: str, *, operator: str, operation_id: str = "") -> None:
        """Withdraws a key permanently, and prints in which data centres that is in force.

        Args:
            key_id: Id of the key.
            operator: Path of the operator's settings file.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        client = OperatorClient.from_file(operator)
        path = f"/v1/keys/{key_id}/withdraw"
        finish_restriction(
            restrict(client, kind="key", name=key_id, path=path, body={}, operation_id=operation_id)
        )


def _check_issued_now(client: OperatorClient, key_id: str, key: str, digest: str) -> None:
    """Ends the process unless the view shows that this call issued the key.

    A call with the id of an operation that succeeded earlier also gets status 200, but the key of
    that operation. If the view cannot be read, the key is printed all the same.
    """
    try:
        issued = client.view()["keys"].get(key_id, {}).get("digest")
    except GeraniumtrackError as exc:
        print(json.dumps({"key_id": key_id, "key": key}))
        sys.stderr.write(
            f"not known whether this key is valid or that of an earlier call: {exc}; try the key\n"
        )
        sys.exit(EXIT_FAILED)
    if issued != digest:
        finish((409, {"error": "already_issued", "message": "issue another key under a new id"}))
