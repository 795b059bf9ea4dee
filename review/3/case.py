"""A replica spoils bytes in the heads of some of its answers."""

import concurrent.futures
import functools
import itertools
import sys
import time

from kit import client, fleet, replica

CALLS = 400
# So many at once, with some work each, so that both replicas get their part.
CALLERS = 8
WORK_S = 0.03
# One in 20 answers (x = 0.05) of one replica of two (share 0.5).
SPOILED_EACH = 20
FRAMING = "Transfer-Encoding: chunked"
SPOILED = "Transfer-Encoding; chunked"


def run(record: fleet.Record, trouble: bool) -> list[str]:
    """Returns the successes whose body isn't the replica's."""
    routes = [
        fleet.route("act", "non_idempotent", "app"),
        fleet.route("read", "idempotent", "app", max_attempts=2),
    ]
    deployment = fleet.Fleet(record, ["a"], routes)
    numbers = itertools.count(1)

    def sound(req: replica.Request, sock) -> bool:
        time.sleep(WORK_S)
        sock.sendall(_answer(req, FRAMING))
        return False

    def faulty(req: replica.Request, sock) -> bool:
        time.sleep(WORK_S)
        spoils = trouble and next(numbers) % SPOILED_EACH == 0
        if spoils:
            record.add("spoiled", id=req.id)
        sock.sendall(_answer(req, SPOILED if spoils else FRAMING))
        return False

    replica.Replica(deployment, "i-1", "app", sound)
    replica.Replica(deployment, "i-2", "app", faulty)
    with deployment, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        call = functools.partial(_fault_of_call, deployment)
        faults = list(pool.map(call, range(CALLS)))
    return [fault for fault in faults if fault]


def _fault_of_call(deployment: fleet.Fleet, number: int) -> str:
    name, method = ("act", "POST") if number % 2 else ("read", "GET")
    answer = client.call(
        deployment,
        deployment.fronts[0],
        method,
        f"/{name}/{number}",
        body=b"{}" if method == "POST" else b"",
    )
    right = _body(answer.id)
    if not answer.whole or answer.status >= 300 or answer.body == right:
        return ""
    return (
        f"MIXED: {answer.id} got {answer.status} with {answer.body!r}, "
        f"the replica's body is {right!r}"
    )


def _body(attempt: str) -> bytes:
    return f'{{"done":"{attempt}"}}'.encode()


def _answer(req: replica.Request, framing: str) -> bytes:
    """Returns a whole answer, after which the replica closes the channel."""
    lines = ("Connection: close", "Content-Type: application/json", framing)
    body = _body(req.id)
    return replica.head(req, *lines) + replica.chunk(body) + replica.chunk(b"")


if __name__ == "__main__":
    fleet.main(run, sys.argv[0])
