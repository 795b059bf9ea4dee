"""A model replica turns slow while it writes streams that may be resumed."""

import concurrent.futures
import itertools
import socket
import sys
import threading
import time

from kit import client, fleet, replica

# One of eight replicas (share 0.125) works 7.5 times as long for 6.5 s.
REPLICAS = 8
SLOW_X = 7.5
SLOW_FOR_S = 6.5
SLOW_AFTER_S = 2.5
# What a sound replica takes to read a prompt, and between two events.
FIRST_S = 0.8
PAUSE_S = 0.4
POLL_S = 0.01
EVENTS = 8
CALLERS = 32
LAST_S = 14.0
# The rule.
OVERLAP_S = 0.4
PROMPT = {
    "Turmericward-Model-Id": "m",
    "Turmericward-Token-Count": "300,80",
}


class Work:
    """What each replica did for each request, and when, in monotonic seconds."""

    def __init__(self, record: fleet.Record) -> None:
        """Starts without work."""
        self._record = record
        self._lock = threading.Lock()
        self.spans: dict[str, list[list]] = {}

    def begin(self, attempt: str, name: str, after: str) -> list:
        """Records that a replica has got a request."""
        span = [time.monotonic(), None, name, after]
        with self._lock:
            self.spans.setdefault(attempt, []).append(span)
        return span

    def end(self, attempt: str, span: list, how: str) -> None:
        """Records that it works on it no longer."""
        span[1] = time.monotonic()
        self._record.add("ended", id=attempt, replica=span[2], how=how)


def run(record: fleet.Record, trouble: bool) -> list[str]:
    """Returns the requests that went on at two replicas at once."""
    work = Work(record)
    slow_from = [float("inf")]

    def factor(name: str) -> float:
        slow_s = time.monotonic() - slow_from[0]
        is_slow = name == "i-0" and 0 <= slow_s < SLOW_FOR_S
        return SLOW_X if is_slow else 1.0

    def server(name: str):
        def serve(req: replica.Request, sock) -> bool:
            after = req.headers.get("last-event-id", "")
            span = work.begin(req.id, name, after)
            if not _wait(sock, lambda: FIRST_S * factor(name)):
                work.end(req.id, span, "left")
                return False
            lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            sock.sendall(replica.head(req, *lines))
            for number in range(int(after or 0) + 1, EVENTS + 1):
                event = f"id: {number}\ndata: {req.id}-{number}\n\n".encode()
                sock.sendall(replica.chunk(event))
                if not _wait(sock, lambda: PAUSE_S * factor(name)):
                    work.end(req.id, span, "left")
                    return False
            sock.sendall(replica.chunk(b""))
            work.end(req.id, span, "complete")
            return True

        return serve

    routes = [
        fleet.route(
            "ask",
            "streaming",
            "model",
            timeout_ms=20000,
            objective_ms=1000,
            gap_ms=500,
            resumable=True,
            max_attempts=2,
        )
    ]
    deployment = fleet.Fleet(record, ["a"], routes)
    for number in range(REPLICAS):
        name = f"i-{number}"
        replica.Replica(deployment, name, "model", server(name))
    with deployment, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        began = time.monotonic()
        for number in range(CALLERS):
            pool.submit(_call_until, deployment, number, began + LAST_S)
        time.sleep(SLOW_AFTER_S)
        if trouble:
            record.add("slow", replica="i-0")
            slow_from[0] = time.monotonic()
        pool.shutdown()
    return _faults(work)


def _wait(sock, length_s) -> bool:
    """Waits as long as the work takes; returns whether the caller is still there."""
    began = time.monotonic()
    while time.monotonic() - began < length_s():
        try:
            if not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return False
        except BlockingIOError:
            pass
        except OSError:
            return False
        time.sleep(POLL_S)
    return True


def _call_until(deployment: fleet.Fleet, caller: int, until: float) -> None:
    number = 0
    while time.monotonic() < until:
        number += 1
        parts = f"5c{caller:02x}{number:04x}:200,91{caller:02x}{number:04x}:100"
        client.call(
            deployment,
            deployment.fronts[0],
            "POST",
            f"/ask/{caller}",
            body=b"{}",
            deadline_s=20.0,
            headers=PROMPT | {"Turmericward-Prompt-Prefix": parts},
        )


def _faults(work: Work) -> list[str]:
    faults = []
    for attempt, spans in work.spans.items():
        for first, second in itertools.pairwise(spans):
            now = time.monotonic()
            both_s = min(first[1] or now, second[1] or now) - second[0]
            if both_s > OVERLAP_S:
                faults.append(
                    f"TWICE: {attempt} went on at {second[2]} after event "
                    f"{second[3] or 'none'} while {first[2]} was at work, "
                    f"both for {both_s:.2f} s"
                )
    return faults


if __name__ == "__main__":
    fleet.main(run, sys.argv[0])
