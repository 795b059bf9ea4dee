"""A small deployment: the platform's store, replicas and fronts, on loopback."""

import collections
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from standins import _http, platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "api.example"
START_TIMEOUT_S = 30.0
BEAT_S = 1.2
STABLE_S = 3.0
GRACE_S = 8.0
FIRST_FRONT_HOST = 31
# What the platform fills into `deploy/settings.json`, as in its pages' example.
BOUNDS = {
    "GraceS": GRACE_S,
    "RetryBudgetRatio": 0.2,
    "BudgetSlack": 52,
    "BudgetWindowS": 10,
    "LeaseMs": 3000,
    "DrainMs": 2000,
    "ConfigApplyMs": 2000,
}
LIMITS = {
    "MaxFds": 4100,
    "MemoryMb": 300,
    "LinkMbps": 1000.0,
    "Cores": 2,
    "CpuShare": 0.537,
}
_PLACEHOLDER = re.compile(r"\{\{([^}|]+)\|json\}\}")


class CannotRunError(Exception):
    """Raised if a case can't be run here."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        """Creates the file."""
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, what: str, **fields) -> None:
        """Writes a line; thread-safe."""
        at = time.monotonic() - self._began
        text = " ".join(f"{k}={v!r}" for k, v in fields.items())
        with self._lock:
            self._file.write(f"{at:9.3f} {what} {text}\n")
            self._file.flush()


def route(name: str, kind: str, service: str, **more) -> dict:
    """Returns a route of the manifest under `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "objective_ms": 400,
        "gap_ms": 250,
        "priority": 1,
        "max_attempts": 1,
        "service": service,
        "resumable": False,
    } | more


class Front:
    """One front process, started as the deploy file says."""

    def __init__(self, fleet: "Fleet", number: int, zone: str) -> None:
        """Writes the settings without starting the process."""
        self.name = f"front-{zone}-{number}"
        self.host = f"127.0.0.{FIRST_FRONT_HOST + number}"
        ports = free_ports(3, self.host)
        self.address = (self.host, ports[0])
        self.ready = (self.host, ports[1])
        self.settings = fleet.directory / f"{self.name}.json"
        self.log = fleet.directory / f"{self.name}.log"
        values = {
            "NodeName": self.name,
            "domain": zone,
            "Ip": self.host,
            "Listen.Front": f"{self.host}:{ports[0]}",
            "Listen.Ready": f"{self.host}:{ports[1]}",
            "InternalPorts.0": fleet.peer_port,
            "Platform.address": fleet.store_address,
        }
        values |= {f"limits.{k}": v for k, v in LIMITS.items()}
        values |= {f"Bounds.{k}": v for k, v in BOUNDS.items()}
        template = (ROOT / "deploy" / "settings.json").read_text()
        text = _PLACEHOLDER.sub(lambda m: json.dumps(values[m[1]]), template)
        # Pages for the operator, which share no machine here.
        self.metrics = ports[2]
        settings = json.loads(text)
        settings["listen"]["metrics"] = ports[2]
        self.settings.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process without waiting for it."""
        environ = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["TURMERICWARD_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "turmericward.platform"],
                cwd=ROOT,
                env=environ,
                stdout=out,
                stderr=out,
            )

    def is_ready(self) -> bool:
        """Asks as the platform does."""
        try:
            conn = http.client.HTTPConnection(*self.ready, timeout=1.0)
            conn.request("GET", "/api/readiness")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def status(self) -> dict:
        """Returns the operator's page, for the record only."""
        conn = http.client.HTTPConnection(self.host, self.metrics, timeout=2.0)
        conn.request("GET", "/status")
        return json.loads(conn.getresponse().read())

    def await_ready(self) -> None:
        """Waits until the front is ready.

        Raises:
            CannotRunError: it isn't in time.
        """
        until = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                tail = self.log.read_text(errors="replace")[-2000:]
                raise CannotRunError(f"{self.name} isn't ready: {tail}")
            time.sleep(0.05)

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns ports that are free on a loopback address."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Fleet:
    """The store, replicas and fronts of a case; ends all of them at exit."""

    def __init__(self, record: Record, zones: list[str], routes: list[dict]) -> None:
        """Creates it with one front for each entry of `zones`.

        Args:
            record: the record of the case.
            zones: zone of each front.
            routes: routes of the first manifest.
        """
        if not (ROOT / "target" / "deps" / "turmericward").exists():
            raise CannotRunError("the build of the deploy file has not been run")
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = platform_store.Store()
        self.store.page_size = 200
        store_port, self.peer_port = free_ports(2)
        self.store_address = f"127.0.0.1:{store_port}"
        self._server = _http.Server(self.store_address, self.store)
        self._replicas: dict[str, dict] = {}
        self._beats = collections.Counter()
        self._stopping = threading.Event()
        self._version = 0
        self.configure(routes)
        self.fronts = [Front(self, n, zone) for n, zone in enumerate(zones)]

    def __enter__(self) -> "Fleet":
        """Starts the store and the fronts, and waits until these are ready."""
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()
        threading.Thread(target=self._beat, daemon=True).start()
        try:
            for front in self.fronts:
                front.start()
            for front in self.fronts:
                front.await_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc) -> None:
        """Ends every process; keeps the fronts' logs if KEEP names a folder."""
        self._stopping.set()
        for front in self.fronts:
            front.kill()
        self._server.shutdown()
        self._server.server_close()
        if os.environ.get("KEEP"):
            shutil.copytree(self.directory, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def configure(self, routes: list[dict]) -> None:
        """Writes the next manifest."""
        self._version += 3
        services = [{"name": name} for name in sorted({r["service"] for r in routes})]
        value = {"version": self._version, "routes": routes, "services": services}
        value["limits"] = {
            "max_header_bytes": 32768,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
        }
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.record.add("manifest", version=self._version)

    def announce(self, name: str, **fields) -> None:
        """Writes a replica's entry; it is renewed until it is withdrawn."""
        entry = {
            "version": 1,
            "slots": 64,
            "state": "in_service",
            "ColdRemainingMs": 0,
            "born": int(time.time() * 1000),
        }
        self._replicas[name] = self._replicas.get(name, entry) | fields
        self._write(name)

    def withdraw(self, name: str) -> None:
        """Deletes a replica's entry."""
        self._replicas.pop(name, None)
        self.store.put("keyed.servers", name, b"")

    def forget(self, name: str) -> None:
        """Stops a replica's beats; its entry lapses after three of them."""
        self._replicas.pop(name, None)
        timer = threading.Timer(3 * BEAT_S, self.withdraw, (name,))
        timer.daemon = True
        timer.start()

    def _write(self, name: str) -> None:
        self._beats[name] += 1
        value = self._replicas[name] | {"sequence": self._beats[name]}
        self.store.put("keyed.servers", name, json.dumps(value).encode())

    def _beat(self) -> None:
        while not self._stopping.wait(BEAT_S):
            for name in list(self._replicas):
                self._write(name)


def main(case, folder: str) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if not, 2 if unable.

    Args:
        case: called with the record and whether to make trouble; returns the faults.
        folder: any file of the folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder).resolve().parent / "record.txt")
    record.add("begin", trouble=trouble)
    try:
        faults = case(record, trouble)
    except CannotRunError as exc:
        record.add("cannot run", why=str(exc))
        print(f"cannot run: {exc}")
        sys.exit(2)
    for fault in faults:
        record.add("broken", rule=fault)
    print("\n".join(faults[:10]) or "the rule held")
    record.add("end", broken=len(faults))
    sys.stdout.flush()
    os._exit(1 if faults else 0)
