"""Fixtures and assertions shared by the tests."""

import contextlib
import json
import unittest

from standins import launch
from turmericward.adapters import errors, steward

check = unittest.TestCase()
check.maxDiff = None

HEADERS = {"Authorization": f"Bearer {launch.TENANT_KEY}"}
OPERATOR = {"Authorization": f"Bearer {launch.OPERATOR_KEY}"}


@contextlib.contextmanager
def cluster(**options):
    """Runs a deployment of processes whose configuration every entry has applied."""
    with launch.Cluster(**options) as deployment:
        deployment.apply(deployment.configuration())
        for node in deployment.nodes.values():
            for entry in node.entries:
                wait_for_model(entry)
        try:
            wait_for_engines(deployment)
            yield deployment
        except BaseException:
            for name in deployment.processes:
                print(f"--- {name}\n{deployment.log_of(name)[-3000:]}")
            raise


def wait_for_model(entry: str, model: str = "small") -> None:
    def listed() -> bool:
        status, _, body = launch.request(entry, "GET", "/v1/models", None, HEADERS)
        return status == 200 and model in body.decode()

    launch.wait_until(listed, what=f"model {model} on {entry}")


def engine_state(cluster, engine: str) -> dict:
    return json.loads(launch.request(cluster.engines[engine], "GET", "/state")[2])


def wait_for_engines(cluster, loads=("small@v1",)) -> None:
    """Waits until every engine has loaded the models and every entry serves a chat."""

    def settled() -> bool:
        states = [engine_state(cluster, name) for name in cluster.engines]
        return all(s["loads"] == list(loads) and not s["changing"] for s in states)

    launch.wait_until(settled, what="engines loaded")
    for node in cluster.nodes.values():
        for entry in node.entries:
            launch.wait_until(lambda e=entry: _serves(e), what=f"answer by {entry}")


def _serves(entry: str) -> bool:
    body = chat(tokens=1)
    return (
        launch.request(entry, "POST", "/v1/chat/completions", body, HEADERS)[0] == 200
    )


def steward_status(cluster, name: str):
    """Returns the status of an instance's steward, None if it is unavailable."""
    address = cluster.steward_address(cluster.nodes[name])
    try:
        with steward.open_client(address, 2.0) as client:
            return client.status()
    except errors.StewardUnavailableError:
        return None


def chat(stream: bool = True, tokens: int = 5, text: str = "hello") -> dict:
    return {
        "model": "small",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    }


def stream_words(body: bytes) -> list[str]:
    """Returns the words of a streamed chat answer; checks that it is complete."""
    events = [e for e in body.decode().split("\n\n") if e]
    check.assertEqual(events[-1], "data: [DONE]")
    chunks = [json.loads(e.removeprefix("data: ")) for e in events[:-1]]
    return [c["choices"][0]["delta"]["content"] for c in chunks]


def ran(cluster) -> list[str]:
    """Returns the bodies of all calls that the service's replicas executed."""
    records = [cluster.record_of(name) for name in cluster.services]
    lines = [line for path in records for line in path.read_text().splitlines()]
    return [json.loads(line) for line in lines]
