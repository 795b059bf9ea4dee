"""Several fronts with duties, before stand-ins of the store, replicas and the API."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import attrs

from standins import launch, loopback, platform_api, platform_replica, platform_store
from tests import platform_fixtures

KEYS = {"w1": "key-1", "w2": "key-2"}
WINDOW_S = 1.0
STOP_TIMEOUT_S = 15.0


@attrs.define
class Front:
    """A front's process; each has an IP number of its own on loopback."""

    name: str
    address: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        environ = os.environ | {"TURMERICWARD_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "turmericward.platform"],
                env=environ,
                stdout=out,
                stderr=out,
            )

    def call(self, path: str, call_id: str, workspace: str) -> int:
        """Sends a plain call of a workspace; returns the status."""
        host, _, port = self.address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = {
            "Host": platform_fixtures.HOST,
            "Turmericward-Attempt-Id": call_id,
            "Turmericward-Deadline-Ms": "3000",
            "Turmericward-Key": KEYS[workspace],
        }
        with contextlib.closing(conn):
            conn.request("GET", path, None, headers)
            return conn.getresponse().status

    def has_lease(self) -> bool:
        """Returns whether the last line on the lease says that this front has it."""
        lines = [
            json.loads(line)
            for line in self.log.read_text().splitlines()
            if '"message": "lease"' in line
        ]
        return bool(lines) and lines[-1]["state"] == "acquired"

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


@attrs.define
class Deployment:
    """The stand-ins and the fronts."""

    store: platform_store.Store
    api: platform_api.PlatformApi
    fronts: list[Front]

    def holder(self, timeout_s: float = 25.0) -> Front:
        """Waits until a running front has the lease, and returns it."""

        def find():
            return next(
                (f for f in self.fronts if f.process.poll() is None and f.has_lease()),
                None,
            )

        return launch.wait_until(find, timeout_s, "a holder of the lease")


def _settings(directory, name: str, domain: str, host: str, ports, store, duties):
    front, ready, peers, metrics = ports
    value = {
        "instance": {"name": name, "domain": domain, "address": host},
        "listen": {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "peers": peers,
            "metrics": metrics,
        },
        "store": {"address": store, "wait_s": 0.5, "timeout_s": 0.5},
        "limits": {"file_descriptors": 4096, "memory_mb": 300},
        "bounds": {
            "drain_s": 10,
            "retry_share": 0.2,
            "retry_slack": 500,
            "retry_window_s": 10,
            "order_gap_ms": 3000,
        },
    }
    if duties is not None:
        value["duties"] = duties
    path = directory / f"{name}.json"
    path.write_text(json.dumps(value))
    return path


def _manifest() -> dict:
    tenants = [{"name": name, "api_keys": [key]} for name, key in KEYS.items()]
    return platform_fixtures.manifest(3) | {"workspaces": tenants}


@contextlib.contextmanager
def deployment(domains=("a",), *, duties: bool = True, **changes):
    """Runs a front in each of the domains, with changed settings of duties."""
    with contextlib.ExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store, api = platform_store.Store(), platform_api.PlatformApi()
        store_address = platform_fixtures.start_server(stack, store)
        api_address = platform_fixtures.start_server(stack, api)
        settings = {
            "address": api_address,
            "kinds": ["usage"],
            "calls_per_s": 50,
            "usage_window_s": WINDOW_S,
            "usage_due_s": 10.0,
        } | changes
        replica = platform_replica.Replica("p1")
        entry = {
            "service": "plain",
            "address": platform_fixtures.start_server(stack, replica),
            "domain": "a",
            "slots": 8,
            "state": "in_service",
            "born": 1000,
        }
        store.put("keyed.servers", "p1", json.dumps(entry).encode())
        store.put("keyed.op", "config", json.dumps(_manifest()).encode())
        ports = loopback.free_ports(4)
        fronts = []
        for number, domain in enumerate(domains):
            name, host = f"front-{number + 1}", f"127.0.0.{number + 1}"
            path = _settings(
                directory,
                name,
                domain,
                host,
                ports,
                store_address,
                settings if duties else None,
            )
            address = f"{host}:{ports[0]}"
            fronts.append(Front(name, address, path, directory / f"{name}.log"))
        for front in fronts:
            front.start()
            stack.callback(front.kill)
        for front in fronts:
            ready = front.address.rpartition(":")[0] + f":{ports[1]}"
            launch.wait_until(
                lambda r=ready: launch.request(r, "GET", "/api/readiness")[0] == 200,
                what="front ready",
            )
            launch.wait_until(
                lambda f=front: '"target": "p1"' in f.log.read_text(),
                what="replica known",
            )
        try:
            yield Deployment(store=store, api=api, fronts=fronts)
        except BaseException:
            for front in fronts:
                print(front.name, front.log.read_text()[-3000:])
            raise
