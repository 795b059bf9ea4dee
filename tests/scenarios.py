"""Interpreter of scenario files, which run real processes, one step a line.

A line is a verb, its arguments and `name=value` options; `#` begins a comment.
A line that ends in `&` runs in the background until `join`.
"""

import contextlib
import json
import pathlib
import shlex
import signal
import threading
import time
from concurrent import futures

import attrs

from standins import engine, launch
from tests import fixtures

check = fixtures.check
FOLDER = pathlib.Path(__file__).parent / "scenarios"
CALL_WAIT_S = 60.0
VERBS = {}


def verb(name: str):
    """Registers a function as a verb; options are passed by parameter name."""

    def register(function):
        VERBS[name] = function
        return function

    return register


@attrs.frozen
class Step:
    """One line of a scenario."""

    verb: str
    words: tuple[str, ...]
    options: dict[str, str]
    background: bool


@attrs.frozen
class Answer:
    """A response; `ran` counts the runs of its call at the time of receipt."""

    status: int
    headers: dict[str, str]
    body: bytes
    ran: int
    took_s: float

    @property
    def outcome(self) -> str:
        try:
            value = json.loads(self.body)
        except ValueError:
            return ""
        return value.get("outcome") or value.get("error", {}).get("outcome", "")


@attrs.define
class World:
    """State that the steps of one scenario share."""

    stack: contextlib.ExitStack
    executor: futures.ThreadPoolExecutor
    cluster: launch.Cluster | None = None
    answers: dict[str, Answer] = attrs.field(factory=dict)
    running: list[futures.Future] = attrs.field(factory=list)
    frozen: str = ""
    loading: threading.Event = attrs.field(factory=threading.Event)
    load: list[futures.Future] = attrs.field(factory=list)

    def entry(self, node: str) -> str:
        name, _, index = node.partition("-")
        return self.cluster.nodes[name].entries[int(index or 0)]

    def ran(self, body: str) -> int:
        return fixtures.ran(self.cluster).count(json.dumps(body))


def parse(line: str) -> Step | None:
    """Returns the step of a line, None for a line without one."""
    parts = shlex.split(line, comments=True)
    if not parts:
        return None
    background = parts[-1] == "&"
    name, *rest = parts[:-1] if background else parts
    pairs = [part.partition("=") for part in rest]
    words = tuple(word for word, equals, _ in pairs if not equals)
    options = {word: value for word, equals, value in pairs if equals}
    return Step(name, words, options, background)


def run(path: pathlib.Path) -> None:
    """Runs a scenario; exceptions get a note with the line of the step."""
    with contextlib.ExitStack() as stack:
        executor = stack.enter_context(futures.ThreadPoolExecutor(64))
        world = World(stack, executor)
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            step = parse(line)
            if step is None:
                continue
            try:
                _run_step(world, step)
            except BaseException as exc:
                world.loading.clear()
                exc.add_note(f"{path.name}:{number}: {line}")
                raise


def _run_step(world: World, step: Step) -> None:
    function = VERBS[step.verb]
    if step.background:
        fut = world.executor.submit(function, world, *step.words, **step.options)
        world.running.append(fut)
    else:
        function(world, *step.words, **step.options)


@verb("cluster")
def _cluster(
    world, domains="a,b", entries="1", per_domain="1", engine="", **overrides
) -> None:
    values = {n.replace("__", "."): json.loads(v) for n, v in overrides.items()}
    options = {
        "domains": tuple(domains.split(",")),
        "entries": int(entries),
        "per_domain": int(per_domain),
        "engine_args": tuple(engine.split()),
        "overrides": values,
    }
    world.cluster = world.stack.enter_context(fixtures.cluster(**options))


@verb("call")
def _call(world, name, at, body, key="", path="/services/alarm/dispatch", **headers):
    sent = fixtures.HEADERS | headers
    if key:
        sent |= {"Idempotency-Key": key}
    started = time.monotonic()
    try:
        status, reply_headers, data = launch.request(
            world.entry(at), "POST", path, body, sent, CALL_WAIT_S
        )
    except (OSError, launch.http.client.HTTPException):
        status, reply_headers, data = 0, {}, b""
    took_s = time.monotonic() - started
    world.answers[name] = Answer(status, reply_headers, data, world.ran(body), took_s)


@verb("stream")
def _stream(world, name, at, tokens="40", text="") -> None:
    body = fixtures.chat(tokens=int(tokens), text=text or name)
    started = time.monotonic()
    status, headers, data = launch.request(
        world.entry(at),
        "POST",
        "/v1/chat/completions",
        body,
        fixtures.HEADERS,
        CALL_WAIT_S,
    )
    took_s = time.monotonic() - started
    world.answers[name] = Answer(status, headers, data, 0, took_s)


@verb("load")
def _load(world, at, workers="8", tokens="10") -> None:
    """Starts workers that each send one stream after the other until `unload`."""
    nodes = at.split(",")
    world.loading.set()
    for number in range(int(workers)):
        node = nodes[number % len(nodes)]
        fut = world.executor.submit(
            _stream_repeatedly, world, node, number, int(tokens)
        )
        world.load.append(fut)


def _stream_repeatedly(world, node: str, worker: int, tokens: int) -> int:
    count = 0
    while world.loading.is_set():
        name = f"load-{worker}-{count}"
        _stream(world, name, node, str(tokens))
        _expect_whole(world, tokens, name)
        count += 1
    return count


@verb("unload")
def _unload(world, least="1") -> None:
    """Ends the load; checks that at least `least` streams ran, all complete."""
    world.loading.clear()
    _, unended = futures.wait(world.load, CALL_WAIT_S)
    check.assertEqual(len(unended), 0, f"calls that did not end in {CALL_WAIT_S:g} s")
    counts = [fut.result() for fut in world.load]
    check.assertGreaterEqual(sum(counts), int(least))


@verb("streams")
def _streams(world, at, count, workers, whole, tokens="30") -> None:
    """Sends streams; checks that each has its full text or ends in a valid error.

    `whole` is the minimum number of complete streams.
    """
    nodes = at.split(",")

    def send(number: int) -> bool:
        name = f"s{number}"
        _stream(world, name, nodes[number % len(nodes)], tokens)
        return _is_complete_or_valid_error(world.answers[name], name, int(tokens))

    with futures.ThreadPoolExecutor(int(workers)) as executor:
        complete = list(executor.map(send, range(int(count))))
    check.assertGreaterEqual(sum(complete), int(whole))


def _is_complete_or_valid_error(answer: Answer, name: str, tokens: int) -> bool:
    prompt = json.dumps([{"role": "user", "content": name}])
    expected = engine.answer_words(prompt, tokens)
    if answer.status != 200:
        check.assertIn(answer.outcome, ("not_run", "unknown"), answer)
        return False
    if answer.body.endswith(b"data: [DONE]\n\n"):
        check.assertEqual(fixtures.stream_words(answer.body), expected, name)
        return True
    *events, last, _ = answer.body.decode().split("\n\n")
    check.assertIn('"error"', last)
    chunks = [json.loads(e.removeprefix("data: ")) for e in events]
    words = [c["choices"][0]["delta"]["content"] for c in chunks]
    check.assertEqual(words, expected[: len(words)], name)
    return False


@verb("changes")
def _changes(world, engine, roles, count) -> None:
    """Changes an engine's role `count` times, waiting for each change."""
    names = roles.split(",")
    for number in range(int(count)):
        role = names[number % len(names)]
        _patch(world, "engine", engine, json.dumps({"role": role}))
        _wait_role(world, engine, role, "30")


@verb("join")
def _join(world) -> None:
    for fut in world.running:
        fut.result(CALL_WAIT_S)
    world.running.clear()


@verb("fault")
def _fault(world, name, **faults) -> None:
    values = {}
    for option, text in faults.items():
        values[option] = text if option == "mode" else json.loads(text)
    world.cluster.faults(name, **values)


@verb("cut")
def _cut(world, node, mode="refuse") -> None:
    world.cluster.faults(f"link-{node}", mode=mode)


@verb("heal")
def _heal(world, node) -> None:
    world.cluster.faults(f"link-{node}", mode="pass")


@verb("kill")
def _kill(world, name) -> None:
    world.cluster.kill(name)


@verb("freeze")
def _freeze(world, name) -> None:
    world.cluster.signal(name, signal.SIGSTOP)


@verb("thaw")
def _thaw(world, name) -> None:
    world.cluster.signal(name, signal.SIGCONT)


@verb("terminate")
def _terminate(world, name) -> None:
    world.cluster.signal(name, signal.SIGTERM)


@verb("start")
def _start(world, name) -> None:
    world.cluster.start(name)
    if name.startswith("entry-"):
        node, _, index = name.removeprefix("entry-").partition("-")
        world.cluster.wait_ready(world.cluster.nodes[node].entries[int(index)])


@verb("pause")
def _pause(world, seconds) -> None:
    time.sleep(float(seconds))


@verb("leaving")
def _leaving(world, *names) -> None:
    world.cluster.publish_instances(leaving=frozenset(names))


@verb("patch")
def _patch(world, kind, name, value, at="a0") -> None:
    """Changes a resource; repeats the request while the status is 503."""
    path = f"/apis/v1/{kind}/{name}"

    def accepted() -> bool:
        status, _, body = launch.request(
            world.entry(at), "PATCH", path, json.loads(value), fixtures.OPERATOR
        )
        check.assertIn(status, (200, 503), body)
        return status == 200

    launch.wait_until(accepted, what=f"change of {kind} {name}")


@verb("patch_many")
def _patch_many(world, kind, name, count) -> None:
    """Changes a resource's description `count` times, to 0, 1, 2 and so on."""
    for number in range(int(count)):
        _patch(world, kind, name, json.dumps({"description": str(number)}))


@verb("expect_value")
def _expect_value(world, kind, name, value, at) -> None:
    path = f"/apis/v1/{kind}/{name}"
    _, _, body = launch.request(world.entry(at), "GET", path, None, fixtures.OPERATOR)
    check.assertEqual(json.loads(body)["value"], json.loads(value))


@verb("wait_changing")
def _wait_changing(world, name) -> None:
    launch.wait_until(
        lambda: fixtures.engine_state(world.cluster, name)["changing"], what="change"
    )


@verb("wait_role")
def _wait_role(world, engine, role, seconds="20") -> None:
    def role_changed() -> bool:
        state = fixtures.engine_state(world.cluster, engine)
        return state["role"] == role and not state["changing"]

    launch.wait_until(role_changed, float(seconds), f"role {role} of {engine}")


@verb("wait_running")
def _wait_running(world, count) -> None:
    def enough_running() -> bool:
        states = [
            fixtures.engine_state(world.cluster, e) for e in world.cluster.engines
        ]
        return sum(s["running"] for s in states) >= int(count)

    launch.wait_until(enough_running, what=f"{count} running requests")


@verb("wait_ran")
def _wait_ran(world, body) -> None:
    launch.wait_until(lambda: world.ran(body), what=f"run of {body}")


@verb("wait_answer")
def _wait_answer(world, at, body, key, status, seconds="20") -> None:
    """Repeats a keyed call, as a client would, until it returns the status."""

    def status_reached() -> bool:
        _call(world, "again", at, body, key)
        return str(world.answers["again"].status) in status.split(",")

    launch.wait_until(status_reached, float(seconds), f"status {status} for {key}")


@verb("freeze_holder")
def _freeze_holder(world, domain) -> None:
    """Sends SIGSTOP to the steward that holds the domain's lease."""
    world.frozen = _holder_of(world, domain)
    world.cluster.signal(f"steward-{world.frozen}", signal.SIGSTOP)


def _holder_of(world, domain: str) -> str:
    nodes = [n for n in world.cluster.nodes.values() if n.domain == domain]

    def holder():
        states = [(n, fixtures.steward_status(world.cluster, n.name)) for n in nodes]
        return [n.name for n, state in states if state is not None and state.holder]

    (name,) = launch.wait_until(holder, what=f"holder of {domain}")
    return name


@verb("terminate_holder")
def _terminate_holder(world, domain) -> None:
    """Sends SIGTERM to the steward that holds the domain's lease; waits for its end."""
    name = f"steward-{_holder_of(world, domain)}"
    world.cluster.signal(name, signal.SIGTERM)
    check.assertEqual(world.cluster.processes[name].wait(CALL_WAIT_S), 0, name)


@verb("thaw_holder")
def _thaw_holder(world) -> None:
    world.cluster.signal(f"steward-{world.frozen}", signal.SIGCONT)


@verb("wait_lease")
def _wait_lease(world, node, seconds="20") -> None:
    def held() -> bool:
        state = fixtures.steward_status(world.cluster, node)
        return state is not None and state.holder

    launch.wait_until(held, float(seconds), f"lease held by {node}")


@verb("expect_answer")
def _expect_answer(world, name, status="", outcome=None, within="") -> None:
    answer = world.answers[name]
    if status:
        check.assertIn(str(answer.status), status.split(","), (name, answer))
    if outcome is not None:
        check.assertIn(answer.outcome, outcome.split(","), (name, answer))
    if within:
        check.assertLess(answer.took_s, float(within), (name, answer))


@verb("expect_true_not_run")
def _expect_true_not_run(world) -> None:
    """No call had run when it was answered with `not_run`."""
    for name, answer in world.answers.items():
        if answer.outcome == "not_run":
            check.assertEqual(answer.ran, 0, (name, answer))


@verb("expect_ran")
def _expect_ran(world, body, times) -> None:
    low, _, high = times.partition("-")
    check.assertIn(world.ran(body), range(int(low), int(high or low) + 1))


@verb("expect_whole")
def _expect_whole(world, tokens, *names) -> None:
    """The streams are complete, each with its own text."""
    for name in names:
        answer = world.answers[name]
        check.assertEqual(answer.status, 200, (name, answer))
        prompt = json.dumps([{"role": "user", "content": name}])
        words = fixtures.stream_words(answer.body)
        check.assertEqual(words, engine.answer_words(prompt, int(tokens)), name)


@verb("expect_no_cut")
def _expect_no_cut(world) -> None:
    for address in world.cluster.engines.values():
        requests = json.loads(launch.request(address, "GET", "/_requests")[2])
        check.assertEqual(requests["cut"], 0, address)


@verb("expect_orders")
def _expect_orders(world, engine, roles) -> None:
    """The engine accepted exactly these orders, under nondecreasing tokens."""
    address = world.cluster.engines[engine]
    orders = json.loads(launch.request(address, "GET", "/_orders")[2])["orders"]
    check.assertEqual([o["role"] for o in orders], roles.split(","), orders)
    tokens = [o["token"] for o in orders]
    check.assertEqual(tokens, sorted(tokens))


@verb("wait_sent_orders")
def _wait_sent_orders(world, engine, count) -> None:
    """Waits until the engine was sent so many orders, accepted or still under way."""
    address = world.cluster.engines[engine]

    def sent() -> bool:
        answer = json.loads(launch.request(address, "GET", "/_orders")[2])
        return answer["sent"] >= int(count)

    launch.wait_until(sent, what=f"{count} orders sent to {engine}")


@verb("wait_outcomes")
def _wait_outcomes(world, domain, outcomes) -> None:
    """Waits until so many orders of a domain have an outcome; checks the outcomes."""
    expected = outcomes.split(",")
    path = f"/streams/authority.{domain}/records?from=0&limit=1000"

    def recorded() -> list[str]:
        page = json.loads(launch.request(world.cluster.log, "GET", path)[2])
        values = [row["value"] for row in page["records"]]
        found = [v["outcome"] for v in values if "outcome" in v]
        return found if len(found) >= len(expected) else []

    found = launch.wait_until(recorded, what=f"{len(expected)} outcomes")
    check.assertEqual(found, expected)


def _since_last_start_s(world, engine: str) -> float:
    address = world.cluster.engines[engine]
    starts = json.loads(launch.request(address, "GET", "/_requests")[2])["starts"]
    return time.time() - max((s["at"] for s in starts), default=0.0)


@verb("expect_last_start")
def _expect_last_start(world, engine, before) -> None:
    """No request was started at the engine in the last `before` seconds."""
    check.assertGreater(_since_last_start_s(world, engine), float(before))


@verb("wait_start")
def _wait_start(world, engine) -> None:
    launch.wait_until(
        lambda: _since_last_start_s(world, engine) < 1, what="new request"
    )
