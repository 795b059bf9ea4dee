"""The whole path through real processes."""

import json
import threading

import openai

from standins import engine, launch
from tests import fixtures

check = fixtures.check
TOKENS = 140


def test_openai_client_gets_streamed_and_whole_answers():
    with fixtures.cluster() as cluster:
        for node in cluster.nodes.values():
            base = f"http://{node.entries[0]}/v1"
            client = openai.OpenAI(base_url=base, api_key=launch.TENANT_KEY)
            messages = [{"role": "user", "content": "hello"}]
            expected = "".join(engine.words_of(json.dumps(messages), 8))
            whole = client.chat.completions.create(
                model="small", messages=messages, max_tokens=8
            )
            check.assertEqual(whole.choices[0].message.content, expected)
            chunks = client.chat.completions.create(
                model="small", messages=messages, max_tokens=8, stream=True
            )
            text = "".join(c.choices[0].delta.content for c in chunks)
            check.assertEqual(text, expected)
            check.assertEqual([m.id for m in client.models.list()], ["small"])
            with check.assertRaises(openai.NotFoundError):
                client.chat.completions.create(model="absent", messages=messages)


def test_sigterm_cuts_no_stream():
    # Ten of the requests wait for a thread when the signal comes, and streams
    # last longer than the server library would wait by itself.
    options = {"overrides": {"entry.threads": 40}}
    with fixtures.cluster(engine_args=("--token-s", "0.05"), **options) as cluster:
        entry = cluster.nodes["a0"].entries[0]
        answers = []

        def call(number: int) -> None:
            body = fixtures.chat(tokens=TOKENS, text=f"stream {number}")
            found = launch.request(
                entry, "POST", "/v1/chat/completions", body, fixtures.HEADERS, 60
            )
            answers.append(found)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(50)]
        for thread in threads:
            thread.start()
        launch.wait_until(lambda: _running(cluster) >= 40, what="open streams")
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
