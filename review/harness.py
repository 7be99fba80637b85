"""What the cases share: a small deployment on loopback addresses.

The instances are processes of their own, started by the command of the deploy file with
settings in the layout of ``deploy/entry.toml.template``. The store, the upstreams and
the callers are stand-ins in the process of the case.
"""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import tomllib
import traceback

import eventlet
from eventlet.green import socket

from merlinnotch._entry.clock import read_clock
from standins.platform_store import StandInStore
from standins.ports import PortPicker

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "host.example"
KEY = "key-of-team"
ONCE_PATH = "/once/"
STREAM_PATH = "/stream/"
GRACE_S = 8.0
READY_POLL_S = 1.0
READY_MISSES = 2
PORTS = PortPicker()

SETTINGS = """\
[instance]
name = "{name}"
zone = "zone-a"
caller_address = "{caller}"
ready_address = "{ready}"
peer_address = "{peer}"
metrics_address = "{metrics}"

[store]
address = "{store}"
configuration_ms = 2000
draining_ms = 2000

[retries]
ratio = 0.9
slack = 56
window_s = 10

[rollouts]
exposure_share = 0.15
slack = 30

[link]
mbps = 1000.0

[memory]
mb = 300

[shutdown]
grace_s = 8.0

[load]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "platform", "rollout"]
"""


def is_troubled():
    """Return whether the case plays its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE") != "0"


def make_configuration():
    """Return the operator's configuration: one service, its routes and one team."""
    common = {"host": HOST, "service": "app", "goal-ms": 150, "priority": 2}
    once = {"name": "once", "path-prefix": ONCE_PATH, "kind": "non_idempotent"}
    stream = {"name": "stream", "path-prefix": STREAM_PATH, "kind": "streaming"}
    stream |= {"resumable": True, "gap-goal-ms": 1200, "goal-ms": 1500}
    return {
        "version": 1,
        "routes": [
            common | once | {"attempts": 1, "timeout-ms": 800},
            common | stream | {"attempts": 3, "timeout-ms": 20000},
        ],
        "services": [{"name": "app", "health-path": "/health", "max-conns": 110}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "team-a", "api-keys": [KEY]}],
    }


def run_case(main):
    """End the process with the exit code of *main*, 2 if it fails itself.

    SIGTERM ends it like SIGINT, so that the processes it started are ended as well.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.exit(code)


class Instance:
    """One process of the deploy file's role, on the loopback address *host*."""

    def __init__(self, name, host, store_address, folder):
        self.name = name
        self.process = None
        self.caller_address = PORTS.pick(host)
        self._ready_address = PORTS.pick(host)
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                caller=self.caller_address,
                ready=self._ready_address,
                peer=PORTS.pick(host),
                metrics=PORTS.pick(host),
                store=store_address,
            )
        )

    def start(self):
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        program, *arguments = deploy["roles"]["entry"]["run"].split()
        program = sys.executable if program == "python3" else program
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "MERLINNOTCH_CONFIG": str(self._path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def is_ready(self):
        """Return whether the readiness endpoint answers 200."""
        with contextlib.suppress(OSError, ValueError), eventlet.Timeout(1.0, False):
            return request(self._ready_address, "GET", "/ready", {}).status == 200
        return False

    def wait_until_ready(self, wait_s=20.0):
        """Wait until the instance is ready; raises TimeoutError."""
        until = read_clock() + wait_s
        while not self.is_ready():
            if read_clock() > until or self.process.poll() is not None:
                raise TimeoutError(f"{self.name} is not ready")
            eventlet.sleep(0.1)

    def terminate(self):
        """Send SIGTERM, as the platform does to stop a process."""
        self.process.send_signal(signal.SIGTERM)

    def wait_until_ended(self):
        """Wait for the exit; after the grace period SIGKILL ends the process."""
        until = read_clock() + GRACE_S
        while self.process.poll() is None and read_clock() < until:
            eventlet.sleep(0.02)
        self.kill()

    def kill(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self):
        """Return what the process has written."""
        return self._log_path.read_text() if self._log_path.exists() else ""


class Deployment:
    """A store, upstreams and instances; a context manager that ends all of them."""

    def __init__(self, instance_count):
        self._folder = tempfile.TemporaryDirectory()
        self.store = StandInStore()
        self.store.put("op/config", make_configuration())
        self.upstreams = []
        self.instances = [
            Instance(f"entry-{n}", f"127.0.0.{11 + n}", self.store.address, self.folder)
            for n in range(instance_count)
        ]

    @property
    def folder(self):
        """The temporary folder with settings and logs."""
        return self._folder.name

    def list_upstream(self, upstream_id, address, slots):
        """Write the entry of an upstream, as it registers itself."""
        entry = {
            "service": "app",
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 0,
        }
        self.store.put(f"servers/{upstream_id}", entry)

    def start(self):
        """Start all instances and wait until they are ready."""
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            instance.wait_until_ready()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for instance in self.instances:
            instance.kill()
        self.store.close()
        self._folder.cleanup()


class Response:
    """A response; *is_complete* tells whether all of its body has arrived."""

    def __init__(self, status=0, fields=None, body=b"", is_complete=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.is_complete = is_complete


class CallerConnection:
    """A caller's connection to an instance, for one request after the other."""

    def __init__(self, address, timeout_s=3.0):
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=timeout_s)
        self._sock.settimeout(timeout_s)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, method, path, fields, body=b""):
        """Send a request; raises OSError."""
        pairs = {"host": HOST} | fields
        if body:
            pairs["content-length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in pairs.items()]
        self._sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def receive(self):
        """Return the :class:`Response`, incomplete if the connection ends early."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = self.receive_part()
            if not part:
                return Response()
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines)
        length = int(fields.get("content-length", 0))
        while len(body) < length:
            part = self.receive_part()
            if not part:
                break
            body += part
        status = int(status_line.split()[1])
        return Response(status, fields, body, len(body) == length)

    def is_closed(self):
        """Return whether the instance has closed the idle connection."""
        try:
            return not self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self):
        """Close the connection."""
        self._sock.close()

    def receive_part(self):
        try:
            return self._sock.recv(65536)
        except OSError:
            return b""


def request(address, method, path, fields, body=b""):
    """Return the :class:`Response` on a new connection; raises OSError."""
    connection = CallerConnection(address)
    try:
        connection.send(method, path, {"connection": "close"} | fields, body)
        return connection.receive()
    finally:
        connection.close()


class Rotation:
    """The instances that get new connections, by polls of their readiness."""

    def __init__(self, instances):
        self._instances = instances
        self._misses = dict.fromkeys(instances, 0)
        for instance in instances:
            eventlet.spawn(self._poll, instance)

    def list_in(self):
        """Return the instances in rotation, all of them if there are none."""
        found = [i for i in self._instances if self._misses[i] < READY_MISSES]
        return found or self._instances

    def _poll(self, instance):
        while True:
            eventlet.sleep(READY_POLL_S)
            if instance.is_ready():
                self._misses[instance] = 0
            else:
                self._misses[instance] += 1


class Record:
    """The lines of ``record.txt``: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started_at = read_clock()

    def write(self, text):
        """Write a line."""
        self._file.write(f"{read_clock() - self._started_at:8.3f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()
