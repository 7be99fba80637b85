"""One process of a stack."""

import signal
import subprocess


class StackProcess:
    """A process that can be killed, frozen and started anew."""

    def __init__(self, role, arguments, log_path):
        self.role = role
        self._arguments = arguments
        self._log_path = log_path
        self._process = None

    @property
    def pid(self):
        """The process id."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether it has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start it; its output goes to its log file."""
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self):
        """Kill it and wait for its end."""
        self._process.kill()
        self._process.wait()

    def freeze(self):
        """Stop it in its tracks."""
        self.send(signal.SIGSTOP)

    def thaw(self):
        """Let it go on."""
        self.send(signal.SIGCONT)

    def terminate(self, timeout_s):
        """Ask it to end; return its exit code. Kills it after *timeout_s*."""
        if not self.is_running:
            return self._process.returncode if self._process else None
        self.thaw()
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s):
        """Return the exit code; kills the process after *timeout_s* seconds."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
