"""Fronts as processes, beside a store, replicas and links inside the soak's process."""

import contextlib
import functools
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import attrs

from soak import _evidence
from standins import _http, launch, link, loopback, platform_replica, platform_store

HOST = "api.example"
START_TIMEOUT_S = 120.0
PROBE_WAIT_S = 10.0
SLOTS = 64
ROUTE_TIMEOUT_MS = 20_000
FRONTS_PER_DOMAIN = 2
# Fronts beyond this many reach the store directly; a link needs threads of the soak.
MAX_STORE_LINKS = 16
# The stand-in store is one process, which many fronts make slow.
STORE_TIMEOUT_PER_FRONT_S = 0.05
# Rows of a listing; small pages cost the soak a call for every two fronts.
STORE_PAGE = 200
FIRST_FRONT_HOST = 20
REPLICA_DOMAINS = 3
# Retries that all fronts together may make, as a share of the calls.
RETRY_SHARE = 0.2
# Route, kind, service, and whether its streams may be resumed.
ROUTES = (
    ("read", "idempotent", "plain", False),
    ("job", "non_idempotent", "plain", False),
    ("batch", "non_idempotent", "plain", False),
    ("ask", "streaming", "model", True),
    ("once", "streaming", "model", False),
    ("split", "streaming", "staged", False),
)
AT_MOST_ONCE = frozenset({"job", "batch", "once", "split"})
# Replicas by service; engines of `staged` have a stage.
PLAIN, MODEL, STAGED = "plain", "model", "staged"
REPLICAS = {
    "p1": (PLAIN, ""),
    "p2": (PLAIN, ""),
    "p3": (PLAIN, ""),
    "m1": (MODEL, "decode"),
    "m2": (MODEL, "decode"),
    "m3": (MODEL, "decode"),
    "s1": (STAGED, "prefill"),
    "s2": (STAGED, "prefill"),
    "s3": (STAGED, "decode"),
    "s4": (STAGED, "decode"),
}
# Routes that only a version adds are named by it, so that its effect can be seen.
VERSION_PREFIX = "since"


def replica_domain(name: str) -> str:
    """Returns the failure domain of a replica; every domain has some of a service."""
    return f"d{int(name[1:]) % REPLICA_DOMAINS}"


def replicas_of(route: str) -> set[str]:
    """Returns the replicas of a route's service."""
    service = service_of(route)
    return {name for name, (of, _) in REPLICAS.items() if of == service}


def service_of(route: str) -> str:
    """Returns the name of a route's service."""
    services = {name: service for name, _, service, _ in ROUTES}
    return services.get(route, PLAIN)


def _route(name: str, kind: str, service: str, *, resumable=False) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": ROUTE_TIMEOUT_MS,
        "objective_ms": 1000,
        "gap_ms": 500,
        "priority": 0,
        "max_attempts": 3 if kind == "idempotent" or resumable else 1,
        "service": service,
        "resumable": resumable,
    }


@attrs.define(eq=False)
class Front:
    """One front; `boot` counts its incarnations."""

    name: str
    domain: str
    address: str
    ready: str
    settings: pathlib.Path
    log: pathlib.Path
    program: list[str]
    boot: int = 0
    # When the running planned stop began.
    stop_at: float | None = None
    process: subprocess.Popen | None = None
    # Held by the fault that works on the process.
    busy: threading.Lock = attrs.field(factory=threading.Lock)

    def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        environ = os.environ | {"TURMERICWARD_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.program],
                env=environ,
                stdout=out,
                stderr=out,
            )
        self.boot += 1
        self.stop_at = None

    def is_ready(self, wait_s: float = PROBE_WAIT_S) -> bool:
        """Returns whether the readiness probe succeeds."""
        path = "/api/readiness"
        return launch.request(self.ready, "GET", path, wait=wait_s)[0] == 200

    def signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once, also a paused one."""
        self.process.kill()
        self.process.wait()


@attrs.define(eq=False, slots=False)
class Fleet:
    """All processes and stand-ins of a run, used as a context manager."""

    directory: pathlib.Path
    count: int
    grace_s: float
    program: list[str]
    evidence: _evidence.Evidence
    retry_slack: int
    slowdown_per_call: float
    fronts: list[Front] = attrs.field(factory=list)
    replicas: dict[str, platform_replica.Replica] = attrs.field(factory=dict)
    links: dict[str, link.Link] = attrs.field(factory=dict)
    version: int = 1
    # Replicas that a fault works on.
    away: set[str] = attrs.field(factory=set)
    _servers: dict[str, _http.Server] = attrs.field(factory=dict)
    _addresses: dict[str, str] = attrs.field(factory=dict)
    _announced: dict[str, str] = attrs.field(factory=dict)
    _births: int = 1000

    def __enter__(self):
        """Starts everything and waits until every front is ready."""
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        self.store = platform_store.Store()
        self.store.page_size = STORE_PAGE
        (port,) = loopback.free_ports(1)
        self._store_address = f"127.0.0.1:{port}"
        self._serve(_evidence.STORE, self._store_address, self.store)
        for name in REPLICAS:
            address, announced = (f"127.0.0.1:{p}" for p in loopback.free_ports(2))
            replica = self.replicas[name] = platform_replica.Replica(name)
            replica.stage = REPLICAS[name][1]
            replica.slowdown_per_call = self.slowdown_per_call
            replica.stage_changed = functools.partial(self._change_stage, name)
            self._addresses[name], self._announced[name] = address, announced
            self._serve(name, address, self.replicas[name])
            self._link(name, announced, address)
            self.announce(name)
        self.evidence.replicas = self.replicas
        self.configure()
        self.fronts = self._front_list()
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            launch.wait_until(front.is_ready, START_TIMEOUT_S, front.name)

    def __exit__(self, *exc) -> None:
        """Ends every process and server that the fleet started."""
        for front in self.fronts:
            if front.process is not None and front.process.poll() is None:
                front.kill()
        for proxy in self.links.values():
            proxy.close()
        for server in self._servers.values():
            server.shutdown()
            server.server_close()

    def _serve(self, name: str, address: str, app) -> None:
        server = _http.Server(address, app)
        self._servers[name] = server
        threading.Thread(target=server.serve_forever, args=(0.1,), daemon=True).start()

    def _link(self, name: str, listen: str, target: str) -> None:
        self.links[name] = link.Link(target)
        threading.Thread(
            target=self.links[name].listen, args=(listen,), daemon=True
        ).start()

    def _front_list(self) -> list[Front]:
        (peer_port,) = loopback.free_ports(1)
        fronts = []
        for number in range(self.count):
            name = f"front-{number}"
            host = f"127.0.0.{FIRST_FRONT_HOST + number}"
            ports = loopback.free_ports(4, host)
            store = self._store_address
            if number < MAX_STORE_LINKS:
                store = f"{host}:{ports[3]}"
                self._link(name, store, self._store_address)
            domain = f"d{number // FRONTS_PER_DOMAIN}"
            front = Front(
                name=name,
                domain=domain,
                address=f"{host}:{ports[0]}",
                ready=f"{host}:{ports[1]}",
                settings=self.directory / f"{name}.json",
                log=self.directory / f"{name}.log",
                program=self.program,
            )
            value = self._settings(front, host, [peer_port, ports[2]], store)
            front.settings.write_text(json.dumps(value))
            fronts.append(front)
        return fronts

    def _settings(self, front: Front, host: str, ports: list[int], store: str) -> dict:
        return {
            "instance": {"name": front.name, "domain": front.domain, "address": host},
            "listen": {
                "front": front.address,
                "ready": front.ready,
                "peers": ports[0],
                "metrics": ports[1],
            },
            "store": {
                "address": store,
                "wait_s": 0.5,
                "timeout_s": max(0.5, self.count * STORE_TIMEOUT_PER_FRONT_S),
            },
            "limits": {"file_descriptors": 4096, "memory_mb": 300},
            "bounds": {
                "drain_s": self.grace_s,
                "retry_share": RETRY_SHARE,
                "retry_slack": self.retry_slack,
                "retry_window_s": 10,
                "order_gap_ms": 500,
                "leaving_ms": 1000 * self.evidence.leaving_s,
                "configuration_ms": 1000 * self.evidence.configuration_s,
            },
        }

    # The operator's and the replicas' records.

    def configure(self) -> None:
        """Writes the next version of the configuration; each adds a route."""
        self.version += 1
        routes = [_route(n, k, s, resumable=r) for n, k, s, r in ROUTES]
        routes += [
            _route(f"{VERSION_PREFIX}{number}", "idempotent", PLAIN)
            for number in range(2, self.version + 1)
        ]
        services = [{"name": name} for name in (PLAIN, MODEL, STAGED)]
        value = {"version": self.version, "routes": routes, "services": services}
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.evidence.versions[self.version] = time.monotonic()

    def announce(self, name: str, *, draining: bool = False) -> None:
        """Writes a replica's record; a replica that drains gets no further calls."""
        service, _ = REPLICAS[name]
        stage = self.replicas[name].stage
        if not draining:
            self._births += 1
        entry = {
            "service": service,
            "address": self._announced[name],
            "domain": replica_domain(name),
            "slots": SLOTS,
            "state": "draining" if draining else "in_service",
            "born": self._births,
        }
        entry |= {"stage": stage} if stage else {}
        self.store.put("keyed.servers", name, json.dumps(entry).encode())

    def _change_stage(self, name: str) -> None:
        # A replica that is away announces its stage when it returns.
        if name not in self.away:
            self.announce(name)

    def remove(self, name: str) -> None:
        """Deletes a replica's record."""
        self.store.put("keyed.servers", name, b"")

    def crash_replica(self, name: str) -> None:
        """Ends a replica with its connections; further ones are refused."""
        self.links[name].set_mode("down")
        self.end_replica(name)
        self.remove(name)

    def end_replica(self, name: str) -> None:
        """Ends a replica with its connections, whose link and entry stay."""
        self._servers.pop(name).crash()

    def silence(self, names: list[str], length_s: float) -> None:
        """Lets sound replicas neither read nor write for a time."""
        with contextlib.ExitStack() as stack:
            began = time.monotonic()
            for name in names:
                stack.enter_context(self._servers[name].paused())
            time.sleep(length_s)
        ended = time.monotonic()
        self.evidence.silences += [
            _evidence.Silence(replica=name, began=began, ended=ended) for name in names
        ]

    def restart_replica(self, name: str) -> None:
        """Starts a replica that had ended, as a new incarnation."""
        self.begin_replica(name)
        self.links[name].set_mode("pass")
        self.announce(name)

    def begin_replica(self, name: str) -> None:
        """Starts a replica that had ended, without its announcement."""
        self._serve(name, self._addresses[name], self.replicas[name])

    def stop_front(self, front: Front, extra=()) -> None:
        """Stops a front as planned; `extra` are pairs of a delay and an action."""
        began = time.monotonic()
        front.stop_at = began
        front.signal(signal.SIGTERM)
        for delay_s, action in extra:
            time.sleep(max(0.0, began + delay_s - time.monotonic()))
            action()
        with contextlib.suppress(subprocess.TimeoutExpired):
            front.process.wait(max(0.0, began + self.grace_s - time.monotonic()))
        if front.process.poll() is None:
            front.kill()
        self.evidence.stops.append(
            _evidence.Stop(
                front=front.name,
                boot=front.boot,
                began=began,
                ended=time.monotonic(),
                exit_status=front.process.returncode,
            )
        )

    def restart_front(self, front: Front) -> None:
        """Starts a front that has ended and waits until it is ready."""
        front.start()
        launch.wait_until(front.is_ready, START_TIMEOUT_S, f"{front.name} ready again")
