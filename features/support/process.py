"""A process that a test has started."""

import os
import pathlib
import signal
import subprocess
import sys

STOP_TIMEOUT_S = 20


class Process:
    """One process of a test, with its log file.

    Attributes:
        name: Name for messages.
        log_path: File that gets its output.
        popen: The process.
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
        """Return whether the process has not ended."""
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.popen.pid, number)

    def terminate(self) -> None:
        """Ask the process to stop, without waiting."""
        if self.is_running():
            self.send(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process.

        Returns:
            The exit status.

        Raises:
            subprocess.TimeoutExpired: It has not ended in time.
        """
        return self.popen.wait(timeout_s)

    def kill(self) -> None:
        """End the process at once, also when it is stopped by a signal."""
        if self.is_running():
            self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def read_log(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(errors='replace')
