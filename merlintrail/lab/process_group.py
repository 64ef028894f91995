"""Processes that are started, signalled and ended together."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final

#: Seconds to wait for a process to end.
END_TIMEOUT_S: Final = 10.0


class ProcessGroup:
    """Python processes by name, with a folder for their files."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix='merlintrail-'))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def folder(self) -> Path:
        """Where settings and logs lie."""
        return self._folder

    def start_process(self, name: str, *arguments: str) -> None:
        """Start a Python process with its errors in a file."""
        log_path = self._folder / f'{name.replace(" ", "-")}.err'
        with log_path.open('ab') as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to one process, by its name."""
        self._processes[name].send_signal(number)

    def has_exited(self, name: str) -> bool:
        """Tell whether a process has ended."""
        return self._processes[name].poll() is not None

    def wait_for_exit(self, name: str) -> int:
        """Wait for a process to end and return its status."""
        return self._processes[name].wait(END_TIMEOUT_S)

    def read_process_id(self, name: str) -> int:
        """Return the identifier of a process."""
        return self._processes[name].pid

    def stop(self) -> None:
        """End every process that was started here, and remove its files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            process.wait(END_TIMEOUT_S)
        shutil.rmtree(self._folder, ignore_errors=True)
