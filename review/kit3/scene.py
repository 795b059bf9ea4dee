"""A small deployment on loopback addresses: the store, replicas and fronts.

The fronts are started with the command of the deploy file and a settings file that is
made from `deploy/settings.json`.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

from review.kit3 import link
from standins import _http, platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
READY_TIMEOUT_S = 30.0
DEADLINE_MS = 10_000
HEARTBEAT_S = 1.2
# After so many without a word, the entry of a replica is removed.
SILENT_HEARTBEATS = 3
STORE_ANSWER_S = 0.004
# Bounds and limits of a front of the small deployments.
FIELDS = {
    "limits.MaxFds": 4100,
    "limits.MemoryMb": 300,
    "limits.LinkMbps": 1000.0,
    "limits.Cores": 2,
    "limits.CpuShare": 0.537,
    "Bounds.GraceS": 8,
    "Bounds.RetryBudgetRatio": 0.2,
    "Bounds.BudgetSlack": 52,
    "Bounds.BudgetWindowS": 10,
    "Bounds.LeaseMs": 3000,
    "Bounds.DrainMs": 2000,
    "Bounds.ConfigApplyMs": 2000,
}


# Engines of the manifest's services.
ENGINE = {"slots": 64, "kv_capacity_tokens": 391_935}


class NotRunError(Exception):
    """Raised when a case couldn't be set up."""


def free_port(host: str) -> int:
    """Returns a free port of a loopback address."""
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


def render_settings(fields: dict) -> str:
    """Fills in the settings of the deploy file, without its optional sections."""
    text = (ROOT / "deploy" / "settings.json").read_text()
    text = re.sub(r"(?s)\{\{#(.+?)\}\}.*?\{\{/\1\}\}", "", text)
    return re.sub(
        r"\{\{([^|}]+)\|json\}\}", lambda m: json.dumps(fields.get(m[1])), text
    )


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Returns a route of the manifest."""
    return {
        "name": f"r-{prefix}",
        "host": HOST,
        "path_prefix": f"/{prefix}/",
        "kind": kind,
        "timeout_ms": 8000,
        "objective_ms": 400,
        "gap_ms": 250,
        "priority": 0,
        "max_attempts": 1,
        "resumable": False,
        "service": service,
    } | changes


class Store(platform_store.Store):
    """The store, which takes its time for each answer."""

    def handle_request(self, req) -> None:
        """Handles one call."""
        time.sleep(STORE_ANSWER_S)
        super().handle_request(req)


class Front:
    """One front as a process."""

    def __init__(
        self,
        name: str,
        domain: str,
        directory: pathlib.Path,
        store: str,
        peers_port: int,
    ) -> None:
        """Writes its settings; starts nothing. All fronts have one port for peers."""
        self.host = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.7"
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready = f"{self.host}:{free_port(self.host)}"
        self.name = name
        self.log = directory / f"{name}.log"
        self.settings = directory / f"{name}.json"
        fields = FIELDS | {
            "NodeName": name,
            "domain": domain,
            "Ip": self.host,
            "Listen.Front": self.front,
            "Listen.Ready": self.ready,
            "InternalPorts.0": peers_port,
            "Platform.address": store,
        }
        self.settings.write_text(render_settings(fields))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = role["roles"]["front"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environ = {name: os.environ[name] for name in kept if name in os.environ}
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["TURMERICWARD_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environ, stdout=out, stderr=out
            )

    def is_ready(self) -> bool:
        """Returns whether its readiness check succeeds."""
        host, _, port = self.ready.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            conn.request("GET", "/api/readiness")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def knows(self, names) -> bool:
        """Returns whether it has logged all of these replicas."""
        text = self.log.read_text()
        return all(f'"target": "{name}"' in text for name in names)


class Scene:
    """All processes of a case, used as a context manager."""

    def __init__(
        self,
        routes: list[dict],
        replicas: dict[str, str],
        domains=("cwb-a",),
        options=None,
    ) -> None:
        """Prepares it.

        Args:
            routes: routes of the manifest.
            replicas: names with their services.
            domains: zones of the fronts, one of each.
            options: further arguments of replicas, by their names.
        """
        self._stack = contextlib.ExitStack()
        self._routes = routes
        self._services = replicas
        self._domains = domains
        self._options = options or {}
        self._stopping = threading.Event()
        self._born: dict[str, int] = {}
        # When each listed replica wrote last.
        self._written: dict[str, float] = {}
        self._sequence = 0
        self.addresses: dict[str, str] = {}
        self.links: dict[str, link.Link] = {}
        self._own_addresses: dict[str, str] = {}
        self.replicas: dict[str, subprocess.Popen] = {}
        self.fronts: list[Front] = []

    def __enter__(self) -> "Scene":
        """Starts everything and waits until the fronts are ready."""
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc) -> None:
        """Ends all processes that were started."""
        self._stopping.set()
        for process in [*(f.process for f in self.fronts), *self.replicas.values()]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self._stack.close()

    def _start(self) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunError("the build of the deploy file is missing")
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(folder)
        self.record = self.directory / "replicas.jsonl"
        self.record.touch()
        self.store = Store()
        self.store.page_size = 50
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        server = _http.Server(address, self.store)
        threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
        self._stack.callback(server.shutdown)
        for name in self._services:
            own = self._own_addresses[name] = f"127.0.0.1:{free_port('127.0.0.1')}"
            self.addresses[name] = f"127.0.0.1:{free_port('127.0.0.1')}"
            self.links[name] = link.Link(self.addresses[name], own)
            self._stack.callback(self.links[name].close)
            self.start_replica(name)
        self._configure()
        threading.Thread(target=self._beat, daemon=True).start()
        peers_port = free_port("127.0.0.1")
        for number, domain in enumerate(self._domains):
            front = Front(
                f"front-{domain}-{number}", domain, self.directory, address, peers_port
            )
            front.start()
            self.fronts.append(front)
        for front in self.fronts:
            self.wait_ready(front)

    def wait_ready(self, front: Front) -> None:
        """Waits until a front is ready and knows the replicas."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not (front.is_ready() and front.knows(self._services)):
            if time.monotonic() > until or front.process.poll() is not None:
                raise NotRunError(f"{front.name}: {front.log.read_text()[-2000:]}")
            time.sleep(0.1)

    def _configure(self) -> None:
        services = [
            {"name": name} | ({"engine": ENGINE} if name == "engine" else {})
            for name in sorted(set(self._services.values()))
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        value = {"version": 7, "routes": self._routes, "services": services}
        value["limits"] = limits
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    def start_replica(self, name: str, listed_after_s: float = 0.0) -> None:
        """Starts a replica, or starts it again, and lets it announce itself.

        Args:
            name: its name.
            listed_after_s: how long after that the store has its entry.
        """
        command = [sys.executable, "-m", "review.kit3.replica", "--name", name]
        command += [
            "--address",
            self._own_addresses[name],
            "--record",
            str(self.record),
        ]
        command += self._options.get(name, [])
        self.replicas[name] = subprocess.Popen(command, cwd=ROOT)
        host, _, port = self._own_addresses[name].rpartition(":")
        until = time.monotonic() + READY_TIMEOUT_S
        while True:
            with (
                contextlib.suppress(OSError),
                socket.create_connection((host, int(port)), 1.0),
            ):
                break
            if time.monotonic() > until:
                raise NotRunError(f"{name} doesn't start")
            time.sleep(0.02)
        born = int(time.time() * 1000)
        if not listed_after_s:
            self._list(name, born)
            return
        timer = threading.Timer(listed_after_s, self._list, (name, born))
        timer.daemon = True
        timer.start()

    def _list(self, name: str, born: int) -> None:
        self._born[name] = born
        self.announce(name)

    def kill_replica(self, name: str) -> None:
        """Kills a replica, which says nothing any more."""
        self._born.pop(name, None)
        self.replicas[name].kill()
        self.replicas[name].wait()

    def announce(self, name: str, **changes) -> None:
        """Writes a replica's entry to the store."""
        self._sequence += 1
        self._written[name] = time.monotonic()
        entry = {
            "service": self._services[name],
            "address": self.addresses[name],
            "domain": "cwb-a",
            "Version": 1,
            "slots": 16,
            "state": "in_service",
            "ColdRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born[name],
        }
        if self._services[name] == "engine":
            entry["stage"] = "decode"
        value = json.dumps(entry | changes).encode()
        self.store.put("keyed.servers", name, value)

    def _beat(self) -> None:
        while True:
            for name in self._services:
                if self._stopping.wait(HEARTBEAT_S / len(self._services)):
                    return
                if name in self._born:
                    self.announce(name)
                self._remove_silent()

    def _remove_silent(self) -> None:
        """Removes the entries of replicas that have been silent for too long."""
        oldest = time.monotonic() - SILENT_HEARTBEATS * HEARTBEAT_S
        for name in [n for n, at in self._written.items() if at < oldest]:
            del self._written[name]
            self.store.put("keyed.servers", name, b"")

    def ran(self) -> list[dict]:
        """Returns what the replicas have written down."""
        return [json.loads(line) for line in self.record.read_text().splitlines()]


class Answer:
    """How a request ended for its client; `error` is empty for a whole answer."""

    def __init__(self, call_id: str, target: str) -> None:
        """Starts without an answer."""
        self.id, self.target = call_id, target
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.error = ""
        # Whether its channel was opened and the whole request written.
        self.sent = False
        self.sent_at = time.time()
        self.ended_at = 0.0

    def line(self) -> str:
        """Returns its line in the record."""
        names = ("Turmericward-Server-Stamp", "Retry-After")
        headers = {n: self.headers[n] for n in names if n in self.headers}
        return (
            f"client {self.id} {self.target} sent {self.sent_at:.3f} ended"
            f" {self.ended_at:.3f} status {self.status} {headers} body"
            f" {len(self.body)} bytes error {self.error!r}"
        )


def ask(front: Front, method: str, target: str, headers=None, timeout_s=15.0) -> Answer:
    """Sends one request on a new channel and returns how it ended."""
    call_id = f"{random.getrandbits(64):016x}"
    answer = Answer(call_id, f"{method} {target}")
    host, _, port = front.front.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    fields = {
        "Host": HOST,
        "Turmericward-Attempt-Id": call_id,
        "Turmericward-Deadline-Ms": str(DEADLINE_MS),
    }
    try:
        body = b"q" if method == "POST" else None
        conn.request(method, target, body, fields | (headers or {}))
        answer.sent = True
        resp = conn.getresponse()
        answer.status, answer.headers = resp.status, dict(resp.getheaders())
        answer.body = resp.read()
    except http.client.IncompleteRead as exc:
        answer.body, answer.error = exc.partial, "incomplete"
    except (OSError, http.client.HTTPException) as exc:
        answer.error = repr(exc)
    finally:
        answer.ended_at = time.time()
        conn.close()
    return answer


class Asked:
    """Requests under way, each on a thread of its own."""

    def __init__(self, calls: list[tuple], every_s: float = 0.0) -> None:
        """Sends the requests, one every `every_s`; the arguments are those of `ask`."""
        self._answers: list[Answer | None] = [None] * len(calls)
        self._threads = []
        for index, call in enumerate(calls):
            thread = threading.Thread(target=self._run, args=(index, call), daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(every_s)

    def _run(self, index: int, call: tuple) -> None:
        self._answers[index] = ask(*call)

    def answers(self) -> list[Answer]:
        """Waits for all answers; returns them in the order of the requests."""
        for thread in self._threads:
            thread.join()
        return self._answers


def run_each(jobs: list[tuple], every_s: float) -> None:
    """Runs each job, a function with its arguments, on a thread; waits for all."""
    threads = []
    for function, *args in jobs:
        thread = threading.Thread(target=function, args=args, daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(every_s)
    for thread in threads:
        thread.join()


def memory_mb(pid: int) -> float:
    """Returns the memory that a process uses, 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    match = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(match[1]) / 1024 if match else 0.0


def raise_descriptor_limit(needed: int) -> None:
    """Lets this process open as many descriptors as its hard limit allows.

    Raises:
        NotRunError: that is less than `needed`.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise NotRunError(f"{hard} descriptors are allowed, {needed} are needed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def run_case(case, folder: str) -> int:
    """Runs a case and writes its record; returns the exit status of its script.

    Args:
        case: called with whether there is trouble and with a function that writes a
            line to the record; returns what broke the rule, a line each.
        folder: the folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with (pathlib.Path(folder) / "record.txt").open("w") as record:

        def write(line: str) -> None:
            print(line, file=record, flush=True)

        write(f"trouble: {trouble}")
        try:
            broken = case(trouble, write)
        except NotRunError as exc:
            write(f"not run: {exc}")
            print(f"not run: {exc}")
            return 2
        except Exception:
            text = traceback.format_exc()
            write(f"not run: {text}")
            print(text)
            return 2
        for line in broken:
            write(f"BROKEN {line}")
            print(f"BROKEN {line}")
        write(f"result: {'broken' if broken else 'held'}")
        print(f"result: {'broken' if broken else 'held'}")
    return 1 if broken else 0
