"""Starts the stand-ins and the product's programs as processes on loopback."""

import contextlib
import hashlib
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import attrs

from standins import loopback

OPERATOR_KEY = "operator-key"
TENANT_KEY = "tenant-key"
STEWARD_PORT = 7100
LOG = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


def digest(key: str) -> str:
    """Returns the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def request(address: str, method: str, path: str, body=None, headers=None, wait=10.0):
    """Sends one JSON request; returns the status, the headers and the body."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=wait)
    data = None if body is None else json.dumps(body).encode()
    try:
        conn.request(method, path, data, headers or {})
        resp = conn.getresponse()
        return resp.status, dict(resp.getheaders()), resp.read()
    finally:
        conn.close()


def wait_until(check, timeout_s: float = START_TIMEOUT_S, what: str = "condition"):
    """Polls `check` until it returns a true value, and returns that.

    Raises:
        TimeoutError: `check` stayed false for `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            value = check()
            if value:
                return value
        time.sleep(0.02)
    raise TimeoutError(f"{what} did not come about in {timeout_s:g} s")


@attrs.define
class Node:
    """One instance, with its settings file and the addresses of its entries."""

    name: str
    domain: str
    address: str
    entries: list[str]
    settings: pathlib.Path


@attrs.define(slots=False)
class Cluster:
    """A deployment of local processes, used as a context manager.

    `domains` are names of failure domains, each with `per_domain` instances of
    `entries` entry processes, one engine and one replica of a service.
    """

    domains: tuple[str, ...] = ("a", "b")
    entries: int = 1
    per_domain: int = 1
    overrides: dict = attrs.field(factory=dict)
    engine_args: tuple[str, ...] = ()
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    commands: dict[str, list[str]] = attrs.field(factory=dict)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    links: dict[str, str] = attrs.field(factory=dict)
    engines: dict[str, str] = attrs.field(factory=dict)
    services: dict[str, str] = attrs.field(factory=dict)

    def __enter__(self):
        """Starts everything and waits until every entry is ready."""
        self._dir = tempfile.TemporaryDirectory()
        try:
            self._start_platform()
            self._start_targets()
            self._write_settings()
            self.publish_instances()
            for node in self.nodes.values():
                self.start_node(node)
            for node in self.nodes.values():
                for address in node.entries:
                    self.wait_ready(address)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc) -> None:
        """Kills every process."""
        for proc in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.processes.values():
            proc.wait()
        self._dir.cleanup()

    def start(self, name: str, command: list[str] | None = None) -> None:
        """Starts a process; without a command, restarts one with its last command."""
        command = command or self.commands[name]
        self.commands[name] = command
        path = pathlib.Path(self._dir.name) / f"{name}.log"
        with path.open("ab") as out:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command], stdout=out, stderr=out
            )

    def record_of(self, service: str) -> pathlib.Path:
        """Returns the file in which a service records the calls that it executed."""
        return pathlib.Path(self._dir.name) / f"{service}.ran"

    def log_of(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (pathlib.Path(self._dir.name) / f"{name}.log").read_text()

    def _start_platform(self) -> None:
        log, rows = loopback.free_ports(2)
        self.log = f"127.0.0.1:{log}"
        self.instance_list = f"127.0.0.1:{rows}"
        self.start("log", ["standins.log", "--listen", self.log])
        self.start("instances", ["standins.instances", "--listen", self.instance_list])
        wait_until(lambda: request(self.log, "POST", "/_faults", {}), what="log")
        wait_until(
            lambda: request(self.instance_list, "GET", "/instances"), what="list"
        )

    def _start_targets(self) -> None:
        ports = loopback.free_ports(2 * len(self.domains))
        for n, domain in enumerate(self.domains):
            engine, service = f"engine-{domain}", f"alarm-{domain}"
            self.engines[engine] = f"127.0.0.1:{ports[2 * n]}"
            self.services[service] = f"127.0.0.1:{ports[2 * n + 1]}"
            listen = ["--listen", self.engines[engine]]
            self.start(engine, ["standins.engine", *listen, *self.engine_args])
            listen = ["--listen", self.services[service], "--name", service]
            record = ["--record", str(self.record_of(service))]
            self.start(service, ["standins.service", *listen, *record])

    def _write_settings(self) -> None:
        names = [(d, n) for d in self.domains for n in range(self.per_domain)]
        steward_port = loopback.free_ports(1)[0]
        hosts = {f"{d}{n}": f"127.0.0.{11 + i}" for i, (d, n) in enumerate(names)}
        seeds = [f"{host}:{steward_port}" for host in hosts.values()]
        for domain, number in names:
            name = f"{domain}{number}"
            ports = loopback.free_ports(self.entries)
            host = hosts[name]
            value = self._settings(name, domain, host, ports, steward_port, seeds)
            value["log"] |= {"address": self._link(f"link-{name}", self.log)}
            path = pathlib.Path(self._dir.name) / f"{name}.json"
            path.write_text(json.dumps(value))
            self.nodes[name] = Node(
                name, domain, host, [f"{host}:{p}" for p in ports], path
            )

    def _link(self, name: str, target: str) -> str:
        listen, control = (f"127.0.0.1:{port}" for port in loopback.free_ports(2))
        self.links[name] = control
        arguments = ["--listen", listen, "--control", control, "--target", target]
        self.start(name, ["standins.link", *arguments])
        wait_until(lambda: request(control, "POST", "/_faults", {}), what=name)
        return listen

    def _settings(self, name, domain, host, ports, steward_port, seeds) -> dict:
        value = {
            "instance": {"name": name, "domain": domain, "address": host},
            "log": {"address": self.log},
            "instance_list": {"address": self.instance_list},
            "entry": {"ports": ports, "balancer_lag_s": 0.3},
            "steward": {
                "port": steward_port,
                "term_s": 2.0,
                "renew_s": 0.5,
                "margin_s": 0.3,
                "order_timeout_s": 0.5,
                "hold_ttl_s": 3.0,
                "seeds": [s for s in seeds if not s.startswith(f"{host}:")],
            },
            "operators": [{"name": "ops", "key_sha256": digest(OPERATOR_KEY)}],
        }
        for path, setting in self.overrides.items():
            section, dot, field = path.partition(".")
            target = value[section] if dot else value
            target[field or section] = setting
        return value

    def rows(self) -> list[dict]:
        """Returns the rows of the instance list with no instance leaving."""
        rows = [
            {
                "kind": "entry",
                "name": node.name,
                "domain": node.domain,
                "address": node.address,
                "leaving": False,
            }
            for node in self.nodes.values()
        ]
        for name, address in (self.engines | self.services).items():
            rows.append(
                {
                    "kind": "target",
                    "name": name,
                    "domain": name.rpartition("-")[2],
                    "address": address.rpartition(":")[0],
                    "leaving": False,
                }
            )
        return rows

    def publish_instances(self, leaving: frozenset[str] = frozenset()) -> None:
        """Replaces the instance list; the rows named in `leaving` are marked so."""
        rows = [row | {"leaving": row["name"] in leaving} for row in self.rows()]
        request(self.instance_list, "POST", "/instances", {"instances": rows})

    def start_node(self, node: Node) -> None:
        """Starts the programs of an instance."""
        path = str(node.settings)
        self.start(
            f"steward-{node.name}",
            ["turmericward.programs.steward", "--settings", path],
        )
        for index in range(len(node.entries)):
            self.start(
                f"entry-{node.name}-{index}",
                [
                    "turmericward.programs.entry",
                    *("--settings", path, "--index", str(index)),
                ],
            )

    def steward_address(self, node: Node) -> str:
        """Returns the address of an instance's steward."""
        settings = json.loads(node.settings.read_text())
        return f"{node.address}:{settings['steward']['port']}"

    def wait_ready(self, address: str) -> None:
        """Waits until the readiness probe of an entry succeeds."""
        wait_until(lambda: request(address, "GET", "/readyz")[0] == 200, what=address)

    def configuration(self) -> list[dict]:
        """Returns the resources that describe this deployment."""
        engines = [
            {
                "kind": "engine",
                "name": name,
                "value": {
                    "domain": name.rpartition("-")[2],
                    "address": address,
                    "models": ["small"],
                },
            }
            for name, address in self.engines.items()
        ]
        targets = [
            {"name": name, "domain": name.rpartition("-")[2], "address": address}
            for name, address in self.services.items()
        ]
        service = {"targets": targets, "idempotent": ["GET *"], "timeout_s": 5}
        tenant = {"key_sha256": [digest(TENANT_KEY)], "default_class": "urgent"}
        return [
            {"kind": "model", "name": "small", "value": {"version": "v1"}},
            {
                "kind": "version",
                "name": "v1",
                "value": {"model": "small", "weights": "s1"},
            },
            *engines,
            {"kind": "service", "name": "alarm", "value": service},
            {"kind": "tenant", "name": "coop", "value": tenant},
        ]

    def apply(self, documents: list[dict], node: Node | None = None) -> None:
        """Puts resources through an entry's API.

        Raises:
            RuntimeError: a resource was rejected.
        """
        address = (node or next(iter(self.nodes.values()))).entries[0]
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        for doc in documents:
            path = f"/apis/v1/{doc['kind']}/{doc['name']}"
            status, _, body = request(address, "PUT", path, doc["value"], headers)
            if status != 200:
                raise RuntimeError(f"{path}: {status} {body!r}")

    def stop(self) -> None:
        """Stops the product's programs, then the stand-ins, by SIGTERM.

        Raises:
            RuntimeError: a process exited with a nonzero status.
        """
        product = [n for n in self.processes if n.startswith(("entry-", "steward-"))]
        standins = [n for n in self.processes if n not in product]
        for names in (product, standins):
            for name in names:
                self.signal(name, signal.SIGTERM)
            for name in names:
                if self.processes[name].wait(STOP_TIMEOUT_S):
                    raise RuntimeError(
                        f"{name} exited with a nonzero status: {self.log_of(name)}"
                    )

    def kill(self, name: str) -> None:
        """Kills a process by SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def faults(self, name: str, **faults) -> None:
        """Sets faults of the stand-in with this process name."""
        fixed = {"log": self.log, "instances": self.instance_list}
        addresses = fixed | self.engines | self.services | self.links
        request(addresses[name], "POST", "/_faults", faults)
