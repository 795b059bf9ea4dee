"""Replicas as processes that a case kills and starts again."""

import subprocess
import sys
import threading

from kit import fleet


class Process:
    """A replica's process."""

    def __init__(
        self, deployment: fleet.Fleet, number: int, framing: str, width: int = 1
    ) -> None:
        """Starts the first boot.

        Args:
            deployment: where it announces itself.
            number: tells it from the others.
            framing: `chunks` or `open`; see `replica_process`.
            width: of the events' ids.
        """
        self._how = (framing, str(width))
        self._deployment = deployment
        self._number = number
        (self._port,) = fleet.free_ports(1)
        self._boot = 0
        self.start()

    def start(self) -> None:
        """Starts a boot with a new id, and announces it."""
        self._boot += 1
        self.name = f"i-{self._number}-{self._boot}"
        module = ["-m", "kit.replica_process", str(self._port), self.name, *self._how]
        self._process = subprocess.Popen(
            [sys.executable, *module], stdout=subprocess.PIPE, text=True
        )
        # It listens now.
        self._process.stdout.readline()
        args = (self._process, self.name)
        threading.Thread(target=self._read, args=args, daemon=True).start()
        self._deployment.announce(
            self.name,
            service="model",
            address=f"127.0.0.1:{self._port}",
            domain="a",
        )

    def _read(self, process: subprocess.Popen, name: str) -> None:
        for line in process.stdout:
            self._deployment.record.add("run", replica=name, id=line.split()[1])

    def crash(self) -> None:
        """Kills the process; its entry lapses later."""
        self._deployment.record.add("killed", replica=self.name)
        self.end()
        self._deployment.forget(self.name)

    def end(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()
