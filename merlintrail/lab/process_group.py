"""Group of child processes that are stopped together."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final

#: Seconds to wait for a process to exit.
EXIT_TIMEOUT_S: Final = 10.0


class ProcessGroup:
    """Python processes by name, with a temporary folder for their files."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix='merlintrail-'))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def folder(self) -> Path:
        """Folder for settings and logs, removed by :meth:`stop`."""
        return self._folder

    def start_process(self, name: str, *arguments: str) -> None:
        """Start a Python process whose output is appended to a file.

        A process that is started under the name of an earlier one replaces
        it in the group.
        """
        log_path = self._folder / f'{name.replace(" ", "-")}.err'
        with log_path.open('ab') as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def send_signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    def has_exited(self, name: str) -> bool:
        """Return whether a process has exited."""
        return self._processes[name].poll() is not None

    def wait_for_exit(self, name: str) -> int:
        """Wait for a process to exit and return its exit status."""
        return self._processes[name].wait(EXIT_TIMEOUT_S)

    def read_process_id(self, name: str) -> int:
        """Return the operating system's identifier of a process."""
        return self._processes[name].pid

    def stop(self) -> None:
        """Kill every process of the group and remove its folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            process.wait(EXIT_TIMEOUT_S)
        shutil.rmtree(self._folder, ignore_errors=True)
