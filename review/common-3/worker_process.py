"""Runs one stand-in worker in a process of its own, so that it answers at once under any load.

Its argument is JSON: `system` holds the subnet and the addresses of the controllers, `worker` the
arguments of `harness.Worker`, `record` the file to which it writes what it runs, and `started` the
zero of its times.
"""

import asyncio
import json
import sys
from pathlib import Path
from types import SimpleNamespace

from harness import Record, Worker


async def main(arguments: dict) -> None:
    """Runs the worker until the process is ended."""
    subnet, controllers = arguments["system"]["subnet"], arguments["system"]["controllers"]
    system = SimpleNamespace(
        record=Record(Path(arguments["record"]), arguments["started"]),
        ip=lambda kind, number: f"127.{subnet}.{kind}.{number}",
        cores=[SimpleNamespace(ip=ip) for ip in controllers],
        runs=[],
    )
    worker = Worker(system, **arguments["worker"])
    await worker.start()
    await asyncio.Event().wait()


asyncio.run(main(json.loads(sys.argv[1])))
