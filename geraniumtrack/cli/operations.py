"""Commands for daily operation: status, data centres, targets, maintenance and explanations."""

from __future__ import annotations

import json
from typing import Any

from geraniumtrack.cli.operator_client import OperatorClient
from geraniumtrack.cli.output import command, finish, finish_restriction, table
from geraniumtrack.cli.restriction_client import restrict

__all__ = ["OperationCommands", "status_text"]


class OperationCommands:
    """Commands for status, data centres, targets, instances, maintenance and explanations."""

    @command
    def status(self, *, operator: str, json: bool = False) -> None:
        """Prints the state of each data centre, controller and entry.

        Args:
            operator: Path of the operator's settings file.
            json: Print JSON instead of tables.
        """
        client = OperatorClient.from_file(operator)
        body = {"view": client.view(), "controllers": client.statuses()}
        print(_json_text(body) if json else status_text(body["view"], body["controllers"]))

    @command
    def take_out(self, data_centre: str, *, operator: str, operation_id: str = "") -> None:
        """Takes a data centre out of service, and prints in which data centres that is in force.

        Args:
            data_centre: Name of the data centre.
            operator: Path of the operator's settings file.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        finish_restriction(
            restrict(
                OperatorClient.from_file(operator),
                kind="data_centre",
                name=data_centre,
                path=f"/v1/data-centres/{data_centre}",
                body={"in_service": False},
                operation_id=operation_id,
            )
        )

    @command
    def bring_back(self, data_centre: str, *, operator: str, operation_id: str = "") -> None:
        """Returns a data centre to service.

        Args:
            data_centre: Name of the data centre.
            operator: Path of the operator's settings file.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        client = OperatorClient.from_file(operator)
        path = f"/v1/data-centres/{data_centre}"
        finish(client.command(path, {"in_service": True}, operation_id=operation_id))

    @command
    def drain(
        self, target: str, *, operator: str, end: bool = False, operation_id: str = ""
    ) -> None:
        """Drains a target, and prints in which data centres that is in force.

        Args:
            target: Name of the target.
            operator: Path of the operator's settings file.
            end: End the drain instead.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        client = OperatorClient.from_file(operator)
        path = f"/v1/targets/{target}/drain"
        body = {"drained": not end}
        if end:
            finish(client.command(path, body, operation_id=operation_id))
            return
        finish_restriction(
            restrict(
                client, kind="target", name=target, path=path, body=body, operation_id=operation_id
            )
        )

    @command
    def retire(self, instance: str, *, operator: str, operation_id: str = "") -> None:
        """Removes a failed instance; it is admitted again if it announces itself again.

        Args:
            instance: Name of the instance.
            operator: Path of the operator's settings file.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        client = OperatorClient.from_file(operator)
        finish(client.command(f"/v1/instances/{instance}/retire", {}, operation_id=operation_id))

    @command
    def maintenance(
        self,
        action: str,
        *,
        operator: str,
        pools: str = "",
        reason: str = "",
        operation_id: str = "",
    ) -> None:
        """Controls the maintenance campaign.

        Args:
            action: One of start, pause, resume, cancel and status.
            operator: Path of the operator's settings file.
            pools: Pools to maintain, separated by commas; by default all.
            reason: Reason to record.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        client = OperatorClient.from_file(operator)
        if action == "status":
            print(_json_text(client.maintenance()))
            return
        # Fire parses a value with commas as a tuple.
        names = pools.split(",") if isinstance(pools, str) else list(pools)
        body = {"action": action, "pools": [name for name in names if name]}
        if reason:
            body["reason"] = reason
        finish(client.command("/v1/maintenance", body, operation_id=operation_id))

    @command
    def explain(self, subject: str, *, operator: str) -> None:
        """Explains an instance, a pool, a rack, `maintenance` or the reason code of a refusal.

        Args:
            subject: Name of the subject; for a rack, data-centre/rack.
            operator: Path of the operator's settings file.
        """
        explanation = OperatorClient.from_file(operator).explain(subject)
        if explanation.get("kind") == "unknown":
            finish((404, {"error": "unknown_subject", "message": explanation["now"][0]}))
        print(_json_text(explanation))


def status_text(view: dict[str, Any], controllers: list[dict[str, Any]]) -> str:
    """Formats the status as three tables."""
    leader = next((c for c in controllers if c.get("role") == "leader"), {})
    entries = leader.get("entries", {})
    entry_data_centres = leader.get("entry_data_centres", {})
    return "\n\n".join(
        [
            f"configuration version {view['version']}",
            _data_centre_table(view, entry_data_centres),
            _controller_table(controllers),
            table(
                ("entry", "data centre", "version in force"),
                [
                    (name, entry_data_centres.get(name, "?"), entries[name])
                    for name in sorted(entries)
                ],
            ),
        ]
    )


def _data_centre_table(view: dict[str, Any], entry_data_centres: dict[str, str]) -> str:
    rows = []
    for name, record in sorted(view["data_centres"].items()):
        instances = [i for i in view["instances"].values() if i["data_centre"] == name]
        unavailable = [
            i
            for i in instances
            if i["drained"] or i["moving_to"] or i["set_aside"] or i["maintenance"]
        ]
        in_service = "yes" if record["in_service"] else "NO"
        entries = sum(data_centre == name for data_centre in entry_data_centres.values())
        rows.append((name, in_service, entries, len(instances), len(unavailable)))
    return table(("data centre", "in service", "entries", "instances", "unavailable"), rows)


def _controller_table(controllers: list[dict[str, Any]]) -> str:
    fields = ("name", "data_centre", "replica", "role", "term", "commit", "version")
    rows = [
        [c.get(f, c.get("error", "-") if f == "role" else "-") for f in fields] for c in controllers
    ]
    return table(("controller", *fields[1:]), rows)


def _json_text(body: Any) -> str:
    return json.dumps(body, indent=2)
