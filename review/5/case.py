"""Replicas crash while they write streams that may be resumed."""

import concurrent.futures
import sys
import time

from kit import client, crashing, fleet, replica_process

REPLICAS = 4
# One of four replicas at a time: share 0.25, for 2 s.
CRASHES = 3
DOWN_S = 2.0
GAP_S = 3.0
PIECES = 12
# Ids of events are numbers of 20 digits.
WIDTH = 20
CALLS = 160
CALLERS = 8
PROMPT = {
    "Turmericward-Model-Id": "m",
    "Turmericward-Token-Count": "300,80",
    "Turmericward-Prompt-Prefix": "5c1e07a2:200,91bd3f06:100",
}


def run(record: fleet.Record, trouble: bool) -> list[str]:
    """Returns the streams in which pieces are missing or come twice."""
    routes = [fleet.route("ask", "streaming", "model", resumable=True, max_attempts=2)]
    deployment = fleet.Fleet(record, ["a"], routes)
    replicas = [
        crashing.Process(deployment, n, "chunks", WIDTH) for n in range(REPLICAS)
    ]
    try:
        with deployment, concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            faults = [pool.submit(_fault_of_call, deployment, n) for n in range(CALLS)]
            for number in range(CRASHES):
                time.sleep(GAP_S)
                if trouble:
                    replicas[number].crash()
                    time.sleep(DOWN_S)
                    replicas[number].start()
            return [f.result() for f in faults if f.result()]
    finally:
        for process in replicas:
            process.end()


def _fault_of_call(deployment: fleet.Fleet, number: int) -> str:
    answer = client.call(
        deployment,
        deployment.fronts[0],
        "POST",
        f"/ask/{number}/{PIECES}",
        body=b"{}",
        headers=PROMPT,
    )
    right = replica_process.body(answer.id, PIECES, stream=True, width=WIDTH)
    if answer.status != 200 or answer.body == right:
        return ""
    if not answer.whole and right.startswith(answer.body):
        # Broken off, as the client can see.
        return ""
    ids = [int(line[3:]) for line in answer.body.split(b"\n") if line[:3] == b"id:"]
    return f"ORDER: {answer.id} got the events {ids}"


if __name__ == "__main__":
    fleet.main(run, sys.argv[0])
