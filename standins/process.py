"""Child processes of a stack."""

import signal
import subprocess


class StackProcess:
    """A child process that can be killed, suspended and restarted."""

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
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start the process; its output is appended to the log file."""
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number):
        """Send a signal."""
        self._process.send_signal(signal_number)

    def kill(self):
        """Kill the process and wait for its exit."""
        self._process.kill()
        self._process.wait()

    def suspend(self):
        """Suspend the process."""
        self.send(signal.SIGSTOP)

    def resume(self):
        """Resume the process."""
        self.send(signal.SIGCONT)

    def terminate(self, timeout_s):
        """Send SIGTERM and return the exit code, or None if it was never started.

        Kills the process after *timeout_s* seconds.
        """
        if not self.is_running:
            return self._process.returncode if self._process else None
        self.resume()
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s):
        """Return the exit code; kills the process after *timeout_s* seconds."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
