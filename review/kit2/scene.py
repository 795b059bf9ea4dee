"""Starts the project's front as its deploy file does, on loopback addresses."""

import contextlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
HOST = "api.example"
START_S = 20.0
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# What `fleetbench wire` shows for the small sites.
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# The sheet of afefe-ward: 300 MB, 4,100 descriptors, 1,000 Mbit/s, and its bounds.
MACHINE = {
    "file_descriptors": 4100,
    "memory_mb": 300,
    "link_mbps": 1000.0,
    "cores": 2,
    "core_share": 0.537,
}
BOUNDS = {
    "drain_s": 8,
    "retry_share": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
    "order_gap_ms": 3000,
    "leaving_ms": 2000,
    "configuration_ms": 2000,
}


def trouble() -> bool:
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt in the folder of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begins an empty record."""
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def add(self, text: str, at: float | None = None) -> None:
        """Writes a line with the time since the start."""
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self._began:8.3f} s  {text}\n")
        self._file.flush()


class Front:
    """One front process."""

    def __init__(
        self, name: str, domain: str, addresses: dict, store: str, folder: pathlib.Path
    ) -> None:
        """Writes its settings.

        Args:
            name: its name.
            domain: its failure domain.
            addresses: host, and the ports `front`, `ready`, `peers` and `metrics`.
            store: address of the store.
            folder: a temporary folder.
        """
        host = addresses["host"]
        self.name = name
        self.address = f"{host}:{addresses['front']}"
        self.ready = f"{host}:{addresses['ready']}"
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        value = {
            "instance": {"name": name, "domain": domain, "address": host},
            "listen": {
                "front": self.address,
                "ready": self.ready,
                "peers": addresses["peers"],
                "metrics": addresses["metrics"],
            },
            "store": {"address": store, "wait_s": 2.0, "timeout_s": 1.0},
            "limits": MACHINE,
            "bounds": BOUNDS,
        }
        self._settings.write_text(json.dumps(value))

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environ = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(DEPS),
            "TURMERICWARD_NODE_FILE": str(self._settings),
        }
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "turmericward.platform"],
                cwd=ROOT,
                env=environ,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self, wait_s: float = 1.0) -> bool:
        """Returns whether the platform's question is answered with 200."""
        host, _, port = self.ready.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=wait_s)
        try:
            conn.request("GET", "/api/readiness")
            return conn.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def wait_ready(self) -> None:
        """Waits until the front is ready; the case can't run otherwise."""
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline:
            if self.is_ready():
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.05)
        sys.stderr.write(self.log.read_text()[-2000:])
        sys.exit(NOT_RUN)

    def end(self) -> None:
        """Ends the process."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()


def check_build() -> None:
    """Ends the case if the build of the deploy file is missing."""
    if not (DEPS / "turmericward").exists():
        sys.stderr.write("target/deps is missing: run the deploy file's build\n")
        sys.exit(NOT_RUN)


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Returns a route whose path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "objective_ms": 300,
        "priority": 2,
        "max_attempts": 2,
        "service": service,
    } | changes


def manifest(version: int, routes: list[dict], services: list[str]) -> bytes:
    """Returns a manifest."""
    value = {
        "version": version,
        "routes": routes,
        "services": [{"name": name} for name in services],
        "limits": LIMITS,
    }
    return json.dumps(value).encode()


def entry(service: str, address: str, domain: str, born: int, **changes) -> bytes:
    """Returns what a replica registers in the store."""
    value = {
        "service": service,
        "address": address,
        "domain": domain,
        "slots": 6,
        "state": "in_service",
        "born": born,
    }
    return json.dumps(value | changes).encode()
