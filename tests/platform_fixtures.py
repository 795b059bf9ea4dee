"""A front process in front of stand-ins of the users' platform, on loopback."""

import contextlib
import functools
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import attrs

from standins import _http, launch, loopback, platform_replica, platform_store

HOST = "api.example"
STOP_TIMEOUT_S = 15.0
# Longer than the thread that writes the lines takes on a busy machine.
LOG_DELAY_S = 0.3
PREFIX = "Turmericward-Prompt-Prefix"
PROMPT = {
    "Turmericward-Model-Id": "m",
    "Turmericward-Token-Count": "300,8",
    PREFIX: "aa:100,bb:200",
}


def prompt_headers(tokens: int, output: int, segments: str) -> dict[str, str]:
    """Returns the headers of a prompt whose segments are `id:tokens,...`."""
    return PROMPT | {"Turmericward-Token-Count": f"{tokens},{output}", PREFIX: segments}


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Returns a route of the manifest whose path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "objective_ms": 400,
        "gap_ms": 250,
        "priority": 0,
        "max_attempts": 2,
        "service": service,
    } | changes


def manifest(version: int, *extra: dict) -> dict:
    """Returns a manifest with a route of each kind."""
    return {
        "version": version,
        "routes": [
            route("read", "idempotent", "plain"),
            route("write", "non_idempotent", "plain", max_attempts=1),
            route("ask", "streaming", "model", resumable=True),
            route("once", "streaming", "model", max_attempts=1),
            *extra,
        ],
        "services": [{"name": "plain"}, {"name": "model"}],
    }


@attrs.define
class Platform:
    """The stand-ins, the front's process and its addresses."""

    store: platform_store.Store
    replicas: dict[str, platform_replica.Replica]
    addresses: dict[str, str]
    # Running servers of the replicas.
    servers: dict[str, _http.Server]
    front: str
    ready: str
    metrics: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None
    log: pathlib.Path | None = None

    def configure(self, value: dict) -> None:
        """Writes the manifest to the store."""
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    def announce(self, name: str, **changes) -> None:
        """Writes a replica's record to the store."""
        plain = name.startswith("p")
        entry = {
            "service": "plain" if plain else "model",
            "address": self.addresses[name],
            "domain": "a",
            "slots": 8,
            "state": "in_service",
            "born": 1000,
        }
        if not plain:
            entry["stage"] = "decode"
        entry |= changes
        self.store.put("keyed.servers", name, json.dumps(entry).encode())

    def start(self) -> None:
        """Starts the front without waiting until it is ready."""
        environ = os.environ | {"TURMERICWARD_NODE_FILE": str(self.settings)}
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "turmericward.platform"],
                env=environ,
                stdout=out,
                stderr=out,
            )

    def is_ready(self) -> bool:
        """Returns whether the readiness probe of the front succeeds."""
        return launch.request(self.ready, "GET", "/api/readiness")[0] == 200

    def wait_ready(self) -> None:
        """Waits until the front is ready and has logged every replica."""
        launch.wait_until(self.is_ready, what="front ready")
        for name in self.replicas:
            launch.wait_until(
                lambda n=name: self._has_target(n),
                what=f"replica {name} known",
            )

    def _has_target(self, name: str) -> bool:
        return any(
            "target_changed" in line and f'"target": "{name}"' in line
            for line in self.log.read_text().splitlines()
        )

    def read_log(self) -> str:
        """Returns all lines that the front has logged until now."""
        time.sleep(LOG_DELAY_S)
        return self.log.read_text()

    def call(self, method: str, path: str, call_id: str, headers=None, body=None):
        """Sends one call; returns status, headers and body."""
        conn = self.connect()
        try:
            self.send(conn, method, path, call_id, headers, body)
            resp = conn.getresponse()
            return resp.status, dict(resp.getheaders()), resp.read()
        finally:
            conn.close()

    def connect(self) -> http.client.HTTPConnection:
        """Opens a connection to the front."""
        host, _, port = self.front.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=10)

    def send(self, conn, method, path, call_id, headers=None, body=None) -> None:
        """Sends a call on an open connection without reading the response."""
        fields = {
            "Host": HOST,
            "Turmericward-Attempt-Id": call_id,
            "Turmericward-Deadline-Ms": "3000",
        }
        conn.request(method, path, body, fields | (headers or {}))

    @contextlib.contextmanager
    def paused(self, names, *, connectable: bool = True):
        """Lets sound replicas stand still meanwhile; see `_http.Server.paused`."""
        with contextlib.ExitStack() as stack:
            for name in names:
                server = self.servers[name]
                stack.enter_context(server.paused(connectable=connectable))
            yield

    def stop(self) -> int:
        """Sends SIGTERM, waits for the process to exit and returns its status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


def start_server(stack, app) -> str:
    """Serves an application until the stack ends; returns its address."""
    (port,) = loopback.free_ports(1)
    address = f"127.0.0.1:{port}"
    _serve(stack, address, app)
    return address


def _serve(stack, address: str, app) -> _http.Server:
    server = _http.Server(address, app)
    thread = threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True)
    thread.start()
    stack.callback(server.shutdown)
    return server


class CrashingReplicas:
    """Ends replicas on deadly prompt segments or calls and starts them again."""

    def __init__(self, stack, platform: "Platform", restart_s: float) -> None:
        """Prepares all replicas of a deployment.

        Args:
            stack: ends the servers.
            platform: the deployment.
            restart_s: time from a crash to the next start.
        """
        self._stack = stack
        self._platform = platform
        self._restart_s = restart_s
        self._lock = threading.Lock()
        self.crashed_at: list[float] = []

    def arm(
        self,
        names: tuple[str, ...],
        segments: frozenset[str] = frozenset(),
        contents: frozenset[platform_replica.Content] = frozenset(),
    ) -> None:
        """Lets replicas crash on these prompt segments and contents of calls."""
        for name in names:
            replica = self._platform.replicas[name]
            replica.deadly_segments = segments
            replica.deadly_contents = contents
            replica.crash = functools.partial(self._crash, name)

    def _crash(self, name: str) -> None:
        with self._lock:
            server = self._platform.servers.pop(name, None)
        if server is None:
            return
        self.crashed_at.append(time.monotonic())
        server.crash()
        self._platform.store.put("keyed.servers", name, b"")
        time.sleep(self._restart_s)
        replica = self._platform.replicas[name]
        address = self._platform.addresses[name]
        self._platform.servers[name] = _serve(self._stack, address, replica)
        self._platform.announce(name, born=1000 + len(self.crashed_at))

    def settled_at(self, crashes_counted: int, settling_s: float) -> float:
        """Returns when the bound on late calls begins to hold."""
        return sorted(self.crashed_at)[:crashes_counted][-1] + settling_s

    def received_since(self, since: float) -> list[platform_replica.ReceivedCall]:
        """Returns the calls that reached any replica after a time."""
        return [
            received
            for replica in self._platform.replicas.values()
            for received in replica.calls
            if received.at > since
        ]


def _settings(
    directory,
    front: str,
    ready: str,
    store: str,
    ports: list[int],
    memory_mb: int,
    bounds: dict,
):
    path = directory / "settings.json"
    value = {
        "instance": {"name": "front-1", "domain": "a", "address": "127.0.0.1"},
        "listen": {
            "front": front,
            "ready": ready,
            "peers": ports[0],
            "metrics": ports[1],
        },
        "store": {"address": store, "wait_s": 0.5, "timeout_s": 0.5},
        "limits": {"file_descriptors": 4096, "memory_mb": memory_mb},
        "bounds": {
            "drain_s": 8,
            "retry_share": 0.2,
            "retry_slack": 500,
            "retry_window_s": 10,
            "order_gap_ms": 500,
        }
        | bounds,
    }
    path.write_text(json.dumps(value))
    return path


@contextlib.contextmanager
def platform(
    names=("p1", "p2", "m1", "m2"),
    *,
    started: bool = True,
    memory_mb: int = 300,
    **bounds,
):
    """Runs stand-ins and a configured front, with changed bounds, before them."""
    with contextlib.ExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = platform_store.Store()
        store_address = start_server(stack, store)
        replicas = {name: platform_replica.Replica(name) for name in names}
        addresses, servers = {}, {}
        for name, replica in replicas.items():
            (port,) = loopback.free_ports(1)
            addresses[name] = f"127.0.0.1:{port}"
            servers[name] = _serve(stack, addresses[name], replica)
        front, ready, *ports = loopback.free_ports(4)
        deployment = Platform(
            store=store,
            replicas=replicas,
            addresses=addresses,
            servers=servers,
            front=f"127.0.0.1:{front}",
            ready=f"127.0.0.1:{ready}",
            settings=_settings(
                directory,
                f"127.0.0.1:{front}",
                f"127.0.0.1:{ready}",
                store_address,
                ports,
                memory_mb,
                bounds,
            ),
            metrics=f"127.0.0.1:{ports[1]}",
            log=directory / "log",
        )
        for name in names:
            deployment.announce(name)
        deployment.configure(manifest(3))
        deployment.start()
        stack.callback(_kill, deployment)
        try:
            if started:
                deployment.wait_ready()
            yield deployment
        except BaseException:
            print(deployment.log.read_text()[-4000:])
            raise


def _kill(deployment: Platform) -> None:
    if deployment.process.poll() is None:
        deployment.process.kill()
        deployment.process.wait()
