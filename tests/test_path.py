"""End-to-end requests through real entry and engine processes."""

import json
import threading
import time

import openai

from standins import engine, launch
from tests import fixtures

check = fixtures.check
TOKENS = 140
MAX_REFUSAL_S = 3.0
TOKEN_S = 0.05


def test_openai_client_gets_streamed_and_complete_responses():
    with fixtures.cluster() as cluster:
        for node in cluster.nodes.values():
            base = f"http://{node.entries[0]}/v1"
            client = openai.OpenAI(base_url=base, api_key=launch.TENANT_KEY)
            messages = [{"role": "user", "content": "hello"}]
            expected = "".join(engine.answer_words(json.dumps(messages), 8))
            completed = client.chat.completions.create(
                model="small", messages=messages, max_tokens=8
            )
            check.assertEqual(completed.choices[0].message.content, expected)
            chunks = client.chat.completions.create(
                model="small", messages=messages, max_tokens=8, stream=True
            )
            text = "".join(c.choices[0].delta.content for c in chunks)
            check.assertEqual(text, expected)
            check.assertEqual([m.id for m in client.models.list()], ["small"])
            with check.assertRaises(openai.NotFoundError):
                client.chat.completions.create(model="absent", messages=messages)


def test_sigterm_lets_open_streams_finish():
    # The streams last longer than the default shutdown timeout of waitress.
    options = {"overrides": {"entry.threads": 64}}
    with fixtures.cluster(engine_args=("--token-s", "0.05"), **options) as cluster:
        entry = cluster.nodes["a0"].entries[0]
        answers = []

        def call(number: int) -> None:
            body = fixtures.chat(tokens=TOKENS, text=f"stream {number}")
            response = launch.request(
                entry, "POST", "/v1/chat/completions", body, fixtures.HEADERS, 60
            )
            answers.append(response)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(50)]
        for thread in threads:
            thread.start()
        launch.wait_until(lambda: _running(cluster) >= 50, what="open streams")
        cluster.processes["entry-a0-0"].terminate()
        launch.wait_until(
            lambda: launch.request(entry, "GET", "/readyz")[0] == 503, what="drain"
        )
        for thread in threads:
            thread.join()
        check.assertEqual([status for status, _, _ in answers], [200] * 50)
        for _, _, body in answers:
            check.assertEqual(len(fixtures.stream_words(body)), TOKENS)
        check.assertEqual(cluster.processes["entry-a0-0"].wait(10), 0)


def _running(cluster) -> int:
    states = [
        json.loads(launch.request(address, "GET", "/state")[2])
        for address in cluster.engines.values()
    ]
    return sum(state["running"] for state in states)


def _post_timed(entry: str, body: dict, answers: list) -> None:
    started = time.monotonic()
    response = launch.request(
        entry, "POST", "/v1/chat/completions", body, fixtures.HEADERS, 60
    )
    answers.append((time.monotonic() - started, *response))


def test_more_requests_than_threads_are_refused_without_waiting():
    options = {"overrides": {"entry.threads": 14, "entry.urgent_reserve": 2}}
    with fixtures.cluster(engine_args=("--token-s", "0.05"), **options) as cluster:
        entry = cluster.nodes["a0"].entries[0]
        answers: list = []
        threads = [
            threading.Thread(
                target=_post_timed,
                args=(entry, fixtures.chat(tokens=TOKENS, text=f"{n}"), answers),
                daemon=True,
            )
            for n in range(80)
        ]
        for thread in threads:
            thread.start()
        launch.wait_until(lambda: _running(cluster) >= 10, what="open streams")
        cluster.processes["entry-a0-0"].terminate()
        for thread in threads:
            thread.join(60)
        check.assertEqual(len(answers), 80)
        completed = [a for a in answers if a[1] == 200]
        refused = [a for a in answers if a[1] != 200]
        check.assertGreaterEqual(len(completed), 10)
        for took_s, _, _, body in completed:
            check.assertEqual(len(fixtures.stream_words(body)), TOKENS)
            check.assertLess(took_s, TOKENS * TOKEN_S + MAX_REFUSAL_S)
        for took_s, status, headers, body in refused:
            check.assertEqual((status, b"not_run" in body), (503, True))
            check.assertGreaterEqual(int(headers["Retry-After"]), 1)
            check.assertLess(took_s, MAX_REFUSAL_S)
        check.assertEqual(cluster.processes["entry-a0-0"].wait(20), 0)
