"""Calls keep the terms of the configuration under which they were read whole."""

import contextlib
import http.client
import json
import socket
import time
from concurrent import futures

from standins import caller
from tests import fixtures, platform_fixtures

check = fixtures.check
launch = platform_fixtures.launch
NAMES = ("p1", "p2", "m1", "m2", "p8", "m8", "p9")
# Services of the replicas that aren't of the fixture's two.
OTHERS = {"p8": "plain-2", "m8": "model-2", "p9": "narrow"}
MOVED = {"plain": "plain-2", "model": "model-2", "narrow": "plain-2"}
# Replicas of the services to which calls that are read whole belong, by phase.
ADMITTED_AT = {
    "sent": {"p1", "p2"},
    "streaming": {"m1", "m2"},
    "resumed": {"m1", "m2"},
}
LIMITS = {
    "max_header_bytes": 4_000,
    "max_body_bytes": 4_000,
    "header_timeout_ms": 30_000,
    "idle_timeout_ms": 30_000,
}
TIMEOUT_MS = 5_000
# Longer than the shortened timeout, and than a change takes.
WORK_S = 0.6
# The break comes an event before the end.
RESUMED_S = 0.9
EVENTS = 6
WORK = {
    "sent": {"route": "write", "work_s": WORK_S},
    "streaming": {"route": "ask", "work_s": WORK_S, "events": EVENTS},
    "resumed": {"route": "ask", "work_s": RESUMED_S, "events": EVENTS},
}
SHORT_TIMEOUT_MS = 200
# The limited replica takes no more per second, so that some of its calls wait.
LIMIT_PER_S = 4.0
# Enough for each resumed stream: replicas break off two in each round.
RETRY_SLACK = 5_000.0
BODY = b"x" * 1_000
HEADER = "X-Filler: " + "x" * 1_000


def _manifest() -> dict:
    value = platform_fixtures.manifest(
        0,
        platform_fixtures.route("limited", "idempotent", "narrow", objective_ms=4_000),
    )
    for route in value["routes"]:
        route["timeout_ms"] = TIMEOUT_MS
    value["services"] += [{"name": name} for name in OTHERS.values()]
    return value | {"limits": dict(LIMITS)}


def _set_routes(**changes):
    def change(value: dict) -> None:
        for route in value["routes"]:
            route |= changes

    return change


def _set_limits(**changes):
    return lambda value: value["limits"].update(changes)


def _add_routes(count: int):
    def change(value: dict) -> None:
        value["routes"] += [
            platform_fixtures.route(f"more-{n}", "idempotent", "plain")
            for n in range(count)
        ]

    return change


def _drop(value: dict) -> None:
    value["routes"] = [platform_fixtures.route("other", "idempotent", "plain")]


def _move(value: dict) -> None:
    for route in value["routes"]:
        route["service"] = MOVED[route["service"]]


def _split(value: dict) -> None:
    for route in value["routes"]:
        old = route.pop("service")
        route["split"] = [
            {"service": old, "weight": 1},
            {"service": MOVED[old], "weight": 9},
        ]


# Versions that follow each other within 50 ms.
CHANGES = {
    "route added": [_add_routes(1)],
    "routes dropped": [_drop],
    "routes moved": [_move],
    "weights": [_split],
    "timeout shorter": [_set_routes(timeout_ms=SHORT_TIMEOUT_MS)],
    "timeout longer": [_set_routes(timeout_ms=2 * TIMEOUT_MS)],
    "idle lowered": [_set_limits(idle_timeout_ms=400)],
    "header lowered": [_set_limits(max_header_bytes=500)],
    "body lowered": [_set_limits(max_body_bytes=100)],
    "limits raised": [_set_limits(**{name: 2 * n for name, n in LIMITS.items()})],
    "350 routes more": [_add_routes(350)],
    "dropped and restored": [_drop, lambda _: None],
    "moved and dropped": [_move, _drop],
}
# By change and phase, if not 200 alone; an incomplete request may be refused.
STATUSES = {
    ("routes dropped", "idle"): {404},
    ("routes dropped", "half header"): {200, 404},
    ("routes dropped", "half body"): {200, 404},
    ("moved and dropped", "idle"): {404},
    ("moved and dropped", "half header"): {200, 404},
    ("moved and dropped", "half body"): {200, 404},
    ("header lowered", "idle"): {431},
    ("header lowered", "half header"): {200, 431},
    ("body lowered", "idle"): {413},
    ("body lowered", "half header"): {413},
    ("body lowered", "half body"): {200, 413},
}


class _Front:
    """A front whose configuration is changed beside calls in each phase."""

    def __init__(self, platform, executor) -> None:
        self.platform = platform
        self.executor = executor
        self._version = 9

    def configure(self, *values: dict) -> None:
        """Applies configurations one after the other, 50 ms apart."""
        for number, value in enumerate(values):
            time.sleep(0.05 if number else 0.0)
            self._version += 1
            self.platform.configure(value | {"version": self._version})
        line = f"configuration {self._version} is in force"
        launch.wait_until(
            lambda: line in self.platform.log.read_text(), what="configuration applied"
        )

    def send(self, call: caller.Call) -> futures.Future:
        """Sends a call on a connection of its own."""

        def run() -> caller.Outcome:
            conn = self.connect()
            with contextlib.closing(conn):
                return conn.send(call)

        return self.executor.submit(run)

    def connect(self) -> caller.Caller:
        """Opens a connection."""
        return caller.Caller(self.platform.front, platform_fixtures.HOST)

    def runners(self, call_id: str) -> list[str]:
        """Returns the replicas that ran a call."""
        replicas = self.platform.replicas.values()
        return [r.name for r in replicas if call_id in r.executed_ids()]

    def connect_plain(self) -> socket.socket:
        """Opens a connection for parts of requests."""
        host, _, port = self.platform.front.rpartition(":")
        return socket.create_connection((host, int(port)), 10)


# Route of the calls on plain connections, and the end of what is sent before a change.
PARTS = {
    "waiting 1": ("limited", None),
    "waiting 2": ("limited", None),
    "waiting 3": ("limited", None),
    "half header": ("write", 100),
    "half body": ("write", -len(BODY) // 2),
    "idle": ("write", 0),
}


def _request(call_id: str, route: str) -> bytes:
    lines = [
        f"POST /{route}/x HTTP/1.1",
        f"Host: {platform_fixtures.HOST}",
        f"Turmericward-Attempt-Id: {call_id}",
        "Turmericward-Deadline-Ms: 9000",
        f"Content-Length: {len(BODY)}",
        HEADER,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + BODY


def _read(conn: socket.socket) -> tuple[int, bytes]:
    resp = http.client.HTTPResponse(conn, method="POST")
    resp.begin()
    return resp.status, resp.read()


def _are_moved(platform) -> bool:
    page = launch.request(platform.metrics, "GET", "/status")[2]
    services = {t["name"]: t["service"] for t in json.loads(page)["targets"]}
    return services.items() >= OTHERS.items()


@contextlib.contextmanager
def _front():
    with (
        platform_fixtures.platform(NAMES, retry_slack=RETRY_SLACK) as platform,
        futures.ThreadPoolExecutor(32) as executor,
    ):
        for name, service in OTHERS.items():
            platform.announce(name, service=service)
        platform.replicas["p9"].headers = (("Server-Limit", str(LIMIT_PER_S)),)
        front = _Front(platform, executor)
        front.configure(_manifest())
        launch.wait_until(lambda: _are_moved(platform), what="services of replicas")
        # Before, it assumes many fronts and uses a small part of a replica's limit.
        launch.wait_until(
            lambda: "1 fronts share the targets" in platform.log.read_text(),
            what="list of fronts",
        )
        yield front


def _id(change: str, phase: str) -> str:
    return f"{change}-{phase}".replace(" ", "-")


def _begin(front: _Front, change: str) -> tuple[dict, dict]:
    """Brings calls into each phase; returns those read whole, and connections."""
    parts = {}
    for phase, (route, end) in PARTS.items():
        parts[phase] = front.connect_plain()
        parts[phase].sendall(_request(_id(change, phase), route)[:end])
    # Its answer shows that the front has read what was sent before.
    parts["idle"].sendall(_request("first", "write"))
    check.assertEqual(_read(parts["idle"])[0], 200)
    running = {
        phase: front.send(caller.Call(id=_id(change, phase), **work))
        for phase, work in WORK.items()
    }
    for phase in WORK:
        call_id = _id(change, phase)
        launch.wait_until(lambda i=call_id: front.runners(i), what=f"{call_id} runs")
    # The other engine has no fault and resumes what this one breaks off.
    front.platform.replicas[front.runners(call_id)[0]].fault = "cut"
    return running, parts


def _check_later(front: _Front, change: str, parts: dict) -> list[str]:
    """Completes the requests; returns a line for each whose answer is wrong."""
    faults = []
    for phase, conn in parts.items():
        call_id = _id(change, phase)
        route, end = PARTS[phase]
        request = _request(call_id, route)
        try:
            with conn:
                conn.sendall(request[len(request) if end is None else end :])
                status, body = _read(conn)
        except (OSError, http.client.HTTPException) as exc:
            status, body = None, repr(exc)
        whole = status != 200 or body == f"answer to {call_id}".encode()
        if status not in STATUSES.get((change, phase), {200}) or not whole:
            faults.append(f"{change}, {phase}: {status}, {body[:80]}")
        runners = front.runners(call_id)
        if runners and (status != 200 or (end is None and runners != ["p9"])):
            faults.append(f"{change}, {phase}: {status}, ran at {runners}")
    return faults


def _check_change(front: _Front, change: str) -> list[str]:
    """Makes a change beside calls; returns a line for each cell that fails."""
    values = [_manifest() for _ in CHANGES[change]]
    for value, edit in zip(values, CHANGES[change], strict=True):
        edit(value)
    front.configure(_manifest())
    running, parts = _begin(front, change)
    front.configure(*values)
    faults = _check_later(front, change, parts)
    for phase, future in running.items():
        outcome = future.result()
        runners = front.runners(outcome.call.id)
        if outcome.status != 200 or outcome.broken or outcome.foreign:
            faults.append(f"{change}, {phase}: {outcome.status} {outcome.broken}")
        if not set(runners) <= ADMITTED_AT[phase]:
            faults.append(f"{change}, {phase}: ran at {runners}")
    for replica in front.platform.replicas.values():
        replica.fault = ""
    return faults


def test_calls_in_each_phase_end_whole_beside_each_kind_of_change():
    with _front() as front:
        faults = [line for change in CHANGES for line in _check_change(front, change)]
        check.assertEqual(faults, [])
        resumed = [c for c in CHANGES if len(front.runners(_id(c, "resumed"))) > 1]
        check.assertTrue(resumed)
