"""Real processes of the product, started and ended by pid."""

import pathlib
import signal
import sys

import eventlet
from eventlet.green import subprocess

from merlinnotch._entry.clock import read_clock
from standins.ports import PortPicker

PORTS = PortPicker()
GRACE_S = 4.0
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
[shutdown]
grace_s = {grace_s}
"""


class Instance:
    """One process. *store* is a :class:`Proxy` before the store, its own.

    *host* is a loopback address that nobody else uses: outgoing connections of
    other processes take ports of 127.0.0.1, and one of them was found on the
    port of an instance that was just being started again.
    """

    def __init__(self, name, host, zone, store, folder):
        self.name = name
        self.store = store
        self.process = None
        self.is_ours_to_end = False
        self._folder = pathlib.Path(folder)
        ports = [PORTS.pick(host) for _ in range(4)]
        self.caller_address = ports[0]
        self._path = self._folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                caller=ports[0],
                ready=ports[1],
                peer=ports[2],
                metrics=ports[3],
                store=store.address,
                grace_s=GRACE_S,
            )
        )

    def start(self):
        """Start the process; its lines go to a file beside the settings."""
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "merlinnotch._entry.main"],
            env={"MERLINNOTCH_CONFIG": str(self._path)},
            stdout=log,
            stderr=log,
            # Stopped, it would end this group by SIGHUP if its shell went away.
            start_new_session=True,
        )
        log.close()
        self.is_ours_to_end = False

    def send(self, number):
        """Send a signal to the process, by its pid, if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self, number):
        """End the process by *number* and wait until it is gone."""
        self.is_ours_to_end = True
        self.send(number)
        until = read_clock() + GRACE_S
        while self.process.poll() is None and read_clock() < until:
            eventlet.sleep(0.02)
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def has_ended_by_itself(self):
        """Return whether the process ended although nobody asked it to."""
        return not self.is_ours_to_end and self.process.poll() is not None
