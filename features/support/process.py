"""Python process started by a test."""

import os
import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 20


class Process:
    """Python process whose output goes to a log file.

    Attributes:
        name: Name for messages and the log file.
        log_path: File that receives stdout and stderr.
        popen: Handle of the process.
    """

    def __init__(
        self, *, name: str, arguments: list[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.log_path = folder / (name + '.log')
        with self.log_path.open('wb') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.popen.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.popen.pid, signal_number)

    def read_status(self, field: str) -> str:
        """Return a field of the process's status in ``/proc`` (proc(5))."""
        path = pathlib.Path('/proc/%d/status' % self.popen.pid)
        for line in path.read_text().splitlines():
            if line.startswith(field + ':'):
                return line.partition(':')[2].strip()
        raise KeyError(field)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the process to exit."""
        if self.is_running():
            self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit.

        Returns:
            The exit status.

        Raises:
            subprocess.TimeoutExpired: The process did not exit in time.
        """
        return self.popen.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process, even if a signal has suspended it."""
        if self.is_running():
            self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def read_log(self) -> str:
        """Return the output that the process has written so far."""
        return self.log_path.read_text(errors='replace')
