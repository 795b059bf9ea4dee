"""Replicas send bytes without end in the bodies of some of their streams."""

import concurrent.futures
import contextlib
import itertools
import random
import sys
import time

from kit import client, fleet, replica

TIMEOUT_S = 2.0
# The clients' time budget is longer than the route's timeout.
BUDGET_S = 6.0
# The rule: so long after the timeout there has to be a final answer, ...
SLACK_S = 0.5
# ... and so many requests, and this share of those that last so long, have none.
LATE_COUNT = 8
LATE_SHARE = 0.25
# Three of five replicas (share 0.6) send one in 20 answers (x = 0.05) without end, for
# 6.4 s, and once more so after a pause.
REPLICAS = 5
FAULTY = 3
ENDLESS_EACH = 20
FAULTY_FOR_S = 6.4
AGAIN_AFTER_S = 9.0
CALLS = 2400
CALLERS = 40
EVENTS = 4
# Sent at once, so that this program's other threads don't hold it up.
NOISE_CHUNK = replica.chunk(random.Random(1).randbytes(2 * 1024 * 1024))
# Requests share the first part of their prompts with every so many others.
PARTS = 40


def run(record: fleet.Record, trouble: bool) -> list[str]:
    """Returns the requests without a final answer, if they break the rule."""
    routes = [
        fleet.route("ask", "streaming", "model", timeout_ms=int(1000 * TIMEOUT_S))
    ]
    deployment = fleet.Fleet(record, ["a"], routes)
    numbers = itertools.count(1)
    began: list[float] = []

    def sound(req: replica.Request, sock) -> bool:
        _begin(req, sock)
        for number in range(2, EVENTS + 1):
            sock.sendall(replica.chunk(_event(req, number)))
        sock.sendall(replica.chunk(b""))
        return True

    def faulty(req: replica.Request, sock) -> bool:
        is_time = (time.monotonic() - began[0]) % AGAIN_AFTER_S < FAULTY_FOR_S
        if not trouble or next(numbers) % ENDLESS_EACH or not is_time:
            return sound(req, sock)
        record.add("without end", id=req.id)
        _begin(req, sock)
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(NOISE_CHUNK)
        record.add("closed by the front", id=req.id)
        return False

    for number in range(REPLICAS):
        serve = faulty if number < FAULTY else sound
        replica.Replica(deployment, f"i-{number}", "model", serve)
    with deployment, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        time.sleep(fleet.STABLE_S)
        began.append(time.monotonic())
        calls = [pool.submit(_call, deployment, n, began[0]) for n in range(CALLS)]
        answers = [call.result() for call in calls]
    return _faults([answer for answer in answers if answer is not None])


def _call(deployment: fleet.Fleet, number: int, began: float) -> client.Answer | None:
    if time.monotonic() - began > 2 * AGAIN_AFTER_S:
        return None
    parts = f"5c1e{number % PARTS:04x}:200,91{number:06x}:100"
    prompt = {
        "Turmericward-Model-Id": "m",
        "Turmericward-Token-Count": "300,80",
        "Turmericward-Prompt-Prefix": parts,
    }
    return client.call(
        deployment,
        deployment.fronts[0],
        "POST",
        f"/ask/{number}",
        body=b"{}",
        deadline_s=BUDGET_S,
        headers=prompt,
        most=1 << 40,
    )


def _faults(answers: list[client.Answer]) -> list[str]:
    longer = [a for a in answers if a.took_s > TIMEOUT_S]
    late = [a for a in longer if a.took_s > TIMEOUT_S + SLACK_S]
    if len(late) < LATE_COUNT or len(late) <= LATE_SHARE * len(longer):
        return []
    return [
        f"CONFIG: {len(late)} of the {len(longer)} requests that last longer than "
        f"TimeoutMs have no final answer {SLACK_S} s after it",
        *(f"CONFIG: {a.id} had none after {a.took_s:.2f} s" for a in late),
    ]


def _begin(req: replica.Request, sock) -> None:
    lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    sock.sendall(replica.head(req, *lines) + replica.chunk(_event(req, 1)))


def _event(req: replica.Request, number: int) -> bytes:
    return f"id: {number}\ndata: {req.id}-{number}\n\n".encode()


if __name__ == "__main__":
    fleet.main(run, sys.argv[0])
