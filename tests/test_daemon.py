"""SIGTERM and errors while a daemon starts, in processes of their own."""

import json
import os
import subprocess
import sys

import pytest

from geraniumtrack.state.store import init_folder

DAEMON = """
import os, signal, sys
from twisted.internet import reactor
from twisted.internet.defer import fail
from twisted.internet.task import deferLater
from geraniumtrack.daemon import run_daemon


class Daemon:
    ready = False

    def start(self):
        return getattr(self, sys.argv[1])()

    def slow(self):
        os.kill(os.getpid(), signal.SIGTERM)
        return deferLater(reactor, 0.3, self.opened)

    def slow_failure(self):
        os.kill(os.getpid(), signal.SIGTERM)
        return deferLater(reactor, 0.3, lambda: fail(OSError("no such address")))

    def failure_at_once(self):
        raise ValueError("no such address")

    def opened(self):
        self.ready = True

    def stop(self):
        print("stop of a daemon that is", "ready" if self.ready else "NOT READY")


daemon = Daemon()
sys.exit(run_daemon(daemon))
"""

# Replaces the constructor of the daemon, in which a controller reads its journal.
WITH_CONSTRUCTOR = """
import os, signal, sys, time
from geraniumtrack import controller, entry
from geraniumtrack.cli import daemons
from geraniumtrack.platform import __main__ as platform_main, programs


def get_sigterm(*_):
    os.kill(os.getpid(), signal.SIGTERM)
    raise AssertionError("went on after SIGTERM")


def print_clock(_, reactor, settings):
    time.clock_gettime = {time.CLOCK_BOOTTIME: 12345.5}.get
    print("clock", reactor.seconds())
    sys.exit(0)


name, kind, path = sys.argv[1:]
constructor = globals()[name]
if kind == "core":
    programs.CoreProgram.__init__ = constructor
    os.environ["GERANIUMTRACK_BOOT"] = path
    sys.argv[1:] = ["core"]
    sys.exit(platform_main.main())
controller.Controller.__init__ = entry.Entry.__init__ = constructor
getattr(daemons.DaemonCommands(), kind)(path)._action()
"""


def run_script(script, *arguments):
    command = [sys.executable, "-c", script, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=20)


def write_settings(folder, kind):
    """Writes the settings file of a daemon and returns its path."""
    path = folder / f"{kind}.settings"
    if kind == "core":
        path.write_text(
            'nodeName = "c"\nip = "127.0.0.1"\nzone = "dc1"\ninternalPortRange = [7000, 7015]\n'
            'seeds = ["127.0.0.1:80"]\n'
        )
        return path
    secret = folder / "secret"
    secret.write_bytes(b"s" * 32)
    secret.chmod(0o600)
    listen = {"host": "127.0.0.1", "port": 1}
    body = {
        "kind": kind,
        "name": "c1",
        "data_centre": "dc1",
        "controllers": [listen | {"name": "c1", "data_centre": "dc1"}],
        "peer_listen": listen,
        "http_listen": listen,
        "secret_file": str(secret),
    }
    if kind == "controller":
        body["data_folder"] = str(folder / "data")
        init_folder(folder / "data", name="c1", peers=["c1"])
    path.write_text(json.dumps(body))
    return path


def test_a_daemon_is_stopped_only_once_it_has_started():
    """Guards against a stop that fails because the ports are not open yet."""
    ended = run_script(DAEMON, "slow")
    assert "stop of a daemon that is ready" in ended.stdout, ended.stderr
    assert ended.returncode == 0


@pytest.mark.parametrize("kind", ["slow_failure", "failure_at_once"])
def test_a_start_that_fails_ends_the_process_with_its_error(kind):
    """Guards against a process that stays without open ports, also if it is to stop meanwhile."""
    ended = run_script(DAEMON, kind)
    assert ended.returncode == 1, ended.stderr
    assert "no such address" in ended.stderr
    assert "stop of" not in ended.stdout


@pytest.mark.parametrize("kind", ["entry", "controller", "core"])
def test_sigterm_before_the_reactor_runs_is_a_planned_stop(tmp_path, kind):
    """Guards against an exit code that reports a failure for a stop during a long recovery."""
    path = write_settings(tmp_path, kind)
    ended = run_script(WITH_CONSTRUCTOR, "get_sigterm", kind, str(path))
    assert ended.returncode == 0, ended.stderr
    assert "event=stopped" in ended.stdout + ended.stderr


@pytest.mark.parametrize("kind", ["entry", "controller", "core"])
def test_the_clock_of_a_daemon_runs_while_the_machine_is_suspended(tmp_path, kind):
    """Guards against a lease that seems valid after a suspend, since the clock stood still."""
    path = write_settings(tmp_path, kind)
    ended = run_script(WITH_CONSTRUCTOR, "print_clock", kind, str(path))
    assert "clock 12345.5" in ended.stdout, ended.stderr


def test_a_controller_that_cannot_use_its_data_folder_names_the_remedy(tmp_path):
    """Guards against a traceback where an operator has to empty the folder."""
    path = write_settings(tmp_path, "core")
    path.write_text(
        path.read_text()
        + f'dataDir = "{tmp_path / "data"}"\n[bindAddresses]\ncontrol = "127.0.0.1:1"\n'
        + '[cloudApi]\naddress = "127.0.0.1:1"\n'
    )
    init_folder(tmp_path / "data", name="127.0.0.1", peers=["127.0.0.1"])
    (tmp_path / "data" / "journal").write_bytes(b"")
    ended = subprocess.run(
        [sys.executable, "-m", "geraniumtrack.platform", "core"],
        env=os.environ | {"GERANIUMTRACK_BOOT": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert ended.returncode == 1
    assert "empty the data folder" in ended.stderr
    assert "Traceback" not in ended.stderr
