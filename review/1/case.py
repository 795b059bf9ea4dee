"""A new replica spoils one byte in the head of an answer to the front itself."""

import itertools
import sys
import threading
import time

from kit import client, fleet, replica

ZONES = ["a", "b"]
# Callers of each front, on the plain service and on the models.
CALLERS = 8
# Long enough for the fronts to be in touch.
SETTLE_S = 4.0
# Until the new replica has given enough answers, at most.
LAST_S = 40.0
PAUSE_S = 4.0
WORK_S = 0.3
# The rule: more than so many.
MOST = 3
# The site's largest dose of spoiled answers.
LARGEST_X = 0.05
PROMPT = {
    "Turmericward-Model-Id": "m",
    "Turmericward-Token-Count": "300,80",
}


class Engine:
    """A model replica; it spoils a byte of one answer if it is `faulty`."""

    def __init__(self, record: fleet.Record, *, faulty: bool) -> None:
        """Starts without answers."""
        self._record = record
        self._faulty = faulty
        self._numbers = itertools.count(1)
        self.answers = 0

    def serve(self, req: replica.Request, sock) -> bool:
        """Answers a call, or the front's question what the replica keeps."""
        self.answers = next(self._numbers)
        body = f"id: 1\ndata: {req.id}\n\n".encode()
        kind = "text/event-stream"
        if req.target == "/api/kv-list":
            body, kind = b'{"epoch":1,"NextToken":1,"held":[]}', "application/json"
        space = " "
        if self._faulty and req.target == "/api/kv-list":
            self._faulty = False
            space = "\x1c"
            self._record.add("spoiled", target=req.target)
        length = f"Content-Length:{space}{len(body)}"
        sock.sendall(replica.head(req, f"Content-Type: {kind}", length) + body)
        return True


class Caller:
    """A client with a kept channel."""

    def __init__(self, deployment: fleet.Fleet, front: fleet.Front, number: int):
        """Starts to send; every second one asks a model."""
        self._deployment = deployment
        self._front = front
        self._asks = number % 2 == 1
        self._number = number
        # No two prompts share a part, so that no replica is preferred.
        self._prompts = itertools.count(1)
        # Attempts that ended without an answer on a channel that had been kept.
        self.unanswered: list[client.Answer] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopping.wait(0.1):
            channel = client.Channel(self._deployment, self._front)
            while not self.stopping.wait(0.02):
                answer = self._call(channel)
                if not answer.whole:
                    if channel.answered:
                        self.unanswered.append(answer)
                    break
            channel.close()

    def _call(self, channel: client.Channel) -> client.Answer:
        if not self._asks:
            return channel.call("POST", "/act/1", b"{}")
        number = next(self._prompts)
        parts = f"5c1e{self._number:02x}{number:06x}:200,91bd{number:06x}:100"
        headers = PROMPT | {"Turmericward-Prompt-Prefix": parts}
        return channel.call("POST", "/ask/1", b"{}", headers)


def run(record: fleet.Record, trouble: bool) -> list[str]:
    """Returns the requests that were passed on and lost, if they break the rule."""
    ran: set[str] = set()

    def work(req: replica.Request, sock) -> bool:
        ran.add(req.id)
        time.sleep(WORK_S)
        body = f'{{"done":"{req.id}"}}'.encode()
        sock.sendall(replica.head(req, f"Content-Length: {len(body)}") + body)
        return True

    routes = [
        fleet.route("act", "non_idempotent", "app"),
        fleet.route("ask", "streaming", "model"),
    ]
    deployment = fleet.Fleet(record, ZONES, routes)

    def add_engine(name: str, *, faulty: bool = False) -> Engine:
        engine = Engine(record, faulty=faulty)
        replica.Replica(
            deployment, name, "model", engine.serve, stage="decode", lists=True
        )
        return engine

    for name in ("i-1", "i-2"):
        replica.Replica(deployment, name, "app", work)
    for name in ("m-1", "m-2", "m-3", "m-4"):
        add_engine(name)
    with deployment:
        callers = [
            Caller(deployment, front, number)
            for front in deployment.fronts
            for number in range(2 * CALLERS)
        ]
        time.sleep(SETTLE_S)
        added = add_engine("m-5", faulty=trouble)
        time.sleep(PAUSE_S)
        until = time.monotonic() + LAST_S
        while time.monotonic() < until and added.answers * LARGEST_X <= 1:
            time.sleep(0.1)
        ends = [(f.name, f.process.poll()) for f in deployment.fronts]
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.thread.join(5.0)
    record.add("ends", exits=ends, answers_of_m5=added.answers)
    if trouble and added.answers * LARGEST_X < 1:
        raise fleet.CannotRunError(f"the new replica gave {added.answers} answers")
    lost = [a for c in callers for a in c.unanswered if a.id in ran]
    return _faults(lost, ends)


def _faults(lost: list[client.Answer], ends) -> list[str]:
    if len(lost) <= MOST:
        return []
    ended = ", ".join(f"{name} with {code}" for name, code in ends if code is not None)
    return [
        f"LOST: {len(lost)} requests of kept channels ran at sound replicas and got no "
        f"answer; processes that ended by themselves: {ended}",
        *(f"LOST: {a.id} {a.error}" for a in lost),
    ]


if __name__ == "__main__":
    fleet.main(run, sys.argv[0])
