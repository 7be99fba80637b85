"""Instances of merlinnotch as child processes."""

import contextlib
import json
import os
import pathlib
import signal
import sys

import eventlet
from eventlet.green import socket, subprocess

from merlinnotch._entry.clock import read_clock
from standins.ports import PortPicker

PORT_PICKER = PortPicker()
SHUTDOWN_GRACE_S = 4.0
SETTINGS = """\
[instance]
name = "{name}"
zone = "{zone}"
caller_address = "{caller}"
ready_address = "{ready}"
peer_address = "{peer}"
metrics_address = "{metrics}"
[store]
address = "{store}"
timeout_s = 0.5
[retries]
ratio = 0.9
slack = 56
window_s = 10
[rollouts]
exposure_share = 0.15
slack = 30
[link]
mbps = {link_mbps}
[memory]
mb = 64
[load]
contracts = {contracts}
ramp_up = "{ramp_up}"
[shutdown]
grace_s = {grace_s}
"""


class Instance:
    """One instance process, which reaches the store through *store_proxy*.

    *host* is a loopback address of its own, since an outgoing connection of another
    process may occupy a port of 127.0.0.1 while the instance restarts. *link_mbps* is
    what its settings say of its network link, 0 for unlimited, *contracts* the rules
    that ask for decisions under load.
    """

    def __init__(self, name, host, zone, store_proxy, folder, link_mbps, contracts=()):
        self.name = name
        self.store_proxy = store_proxy
        self.process = None
        self.is_exit_expected = False
        self._folder = pathlib.Path(folder)
        ports = [PORT_PICKER.pick(host) for _ in range(4)]
        self.caller_address, _, self.peer_address, _ = ports
        self._path = self._folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                caller=ports[0],
                ready=ports[1],
                peer=ports[2],
                metrics=ports[3],
                store=store_proxy.address,
                grace_s=SHUTDOWN_GRACE_S,
                link_mbps=link_mbps,
                contracts=list(contracts),
                ramp_up="on" if contracts else "off",
            )
        )

    def start(self):
        """Start the process; its output goes to a log file beside the settings."""
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "merlinnotch._entry.main"],
            env={
                "MERLINNOTCH_CONFIG": str(self._path),
                "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
            },
            stdout=log,
            stderr=log,
            # A stopped process in this group would bring SIGHUP on all of the group
            # when its shell exits.
            start_new_session=True,
        )
        log.close()
        self.is_exit_expected = False

    def wait_until_started(self, timeout_s):
        """Wait until the process handles signals and listens to its peers.

        Raises TimeoutError.
        """
        host, _, port = self.peer_address.rpartition(":")
        with eventlet.Timeout(timeout_s, TimeoutError(f"{self.name} has not started")):
            while True:
                try:
                    socket.create_connection((host, int(port))).close()
                except OSError:
                    eventlet.sleep(0.02)
                else:
                    return

    def list_sends(self):
        """Yield (attempt id, upstream) of the requests that its log says it sent."""
        with (self._folder / f"{self.name}.log").open(errors="replace") as log:
            for line in log:
                if '"request": ' not in line or not line.startswith("{"):
                    continue
                with contextlib.suppress(json.JSONDecodeError):
                    record = json.loads(line)
                    yield record.get("request"), record.get("upstream")

    def send(self, signal_number):
        """Send a signal to the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def stop(self, signal_number):
        """Send *signal_number* and wait for the exit.

        Kills the process after SHUTDOWN_GRACE_S seconds.
        """
        self.is_exit_expected = True
        self.send(signal_number)
        deadline = read_clock() + SHUTDOWN_GRACE_S
        while self.process.poll() is None and read_clock() < deadline:
            eventlet.sleep(0.02)
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def has_exited_unexpectedly(self):
        """Return whether the process has exited without a call of :meth:`stop`."""
        return not self.is_exit_expected and self.process.poll() is not None
