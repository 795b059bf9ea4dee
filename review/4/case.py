"""A replica spoils one byte of an event's id in some of its streams."""

import concurrent.futures
import functools
import itertools
import sys
import time

from kit import client, fleet, replica

CALLS = 400
CALLERS = 8
PAUSE_S = 0.005
# One in 20 answers (x = 0.05) of one replica of two (share 0.5).
SPOILED_EACH = 20
EVENTS = 12
SPOILED_EVENT = 5
PROMPT = {
    "Turmericward-Model-Id": "m",
    "Turmericward-Token-Count": "300,80",
}


def run(record: fleet.Record, trouble: bool) -> list[str]:
    """Returns the streams that look complete and lack pieces of their replica's."""
    routes = [
        fleet.route("once", "streaming", "model"),
        fleet.route("ask", "streaming", "model", resumable=True, max_attempts=2),
    ]
    deployment = fleet.Fleet(record, ["a"], routes)
    numbers = itertools.count(1)
    # What the replicas have sent, by the id of the attempt.
    sent: dict[str, bytes] = {}

    def server(*, faulty: bool):
        def serve(req: replica.Request, sock) -> bool:
            spoils = faulty and next(numbers) % SPOILED_EACH == 0
            if spoils:
                record.add("spoiled", id=req.id)
            events = _events(req, spoils=spoils)
            sent[req.id] = b"".join(events)
            lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            sock.sendall(replica.head(req, *lines))
            for event in events:
                sock.sendall(replica.chunk(event))
                time.sleep(PAUSE_S)
            sock.sendall(replica.chunk(b""))
            return True

        return serve

    replica.Replica(deployment, "i-1", "model", server(faulty=False))
    replica.Replica(deployment, "i-2", "model", server(faulty=trouble))
    with deployment, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        answers = list(pool.map(functools.partial(_call, deployment), range(CALLS)))
    return [fault for a in answers if (fault := _fault(a, sent.get(a.id, b"")))]


def _events(req: replica.Request, *, spoils: bool) -> list[bytes]:
    """Returns events with the ids 1, 2, 3 ...; one byte is another if it `spoils`."""
    space = {SPOILED_EVENT: "9"} if spoils else {}
    return [
        f"id:{space.get(n, ' ')}{n}\ndata: {req.id}-{n}\n\n".encode()
        for n in range(1, EVENTS + 1)
    ]


def _call(deployment: fleet.Fleet, number: int) -> client.Answer:
    parts = f"5c1e{number:06x}:200,91bd{number:06x}:100"
    return client.call(
        deployment,
        deployment.fronts[0],
        "POST",
        f"/{'ask' if number % 2 else 'once'}/{number}",
        body=b"{}",
        headers=PROMPT | {"Turmericward-Prompt-Prefix": parts},
    )


def _fault(answer: client.Answer, sent: bytes) -> str:
    if not answer.whole or answer.status != 200 or answer.body == sent:
        return ""
    got, all_of_them = answer.body.count(b"data:"), sent.count(b"data:")
    return (
        f"ORDER: {answer.id} got a complete stream with {got} of the {all_of_them} "
        "pieces that its replica sent"
    )


if __name__ == "__main__":
    fleet.main(run, sys.argv[0])
