"""A grey replica runs requests and says 503 without a promise: passed on as one."""

import collections
import pathlib
import sys
import time

from review.kit3 import scene

ROUTES = [scene.route("act", "non_idempotent", "plain")]
REPLICAS = {f"i-{n}": "plain" for n in range(1, 9)}
GREY = "i-3"
GREY_SHARE = 0.4
STATUS = 503
PROMISES = (503, 429, 408, 421)
ACTIONS = 200
EVERY_S = 0.03


def _ask_until_done(front: scene.Front, action: int, answers: list) -> None:
    """Asks for an action as clients do: once more after a promise."""
    for _ in range(2):
        answer = scene.ask(front, "POST", f"/act/{action}?work_ms=30")
        answers.append(answer)
        if answer.status not in PROMISES:
            return
        time.sleep(float(answer.headers.get("Retry-After", 0)))


def check(trouble: bool, write) -> list[str]:
    """Compares the statuses that clients get with what replicas have run."""
    grey = ["--grey", str(GREY_SHARE), "--status", str(STATUS)]
    options = {GREY: grey} if trouble else {}
    with scene.Scene(ROUTES, REPLICAS, options=options) as deployment:
        front = deployment.fronts[0]
        answers: list[scene.Answer] = []
        scene.run_each(
            [(_ask_until_done, front, n, answers) for n in range(ACTIONS)], EVERY_S
        )
        rows = deployment.ran()
    for row in rows:
        write(f"replica {row}")
    done = [row for row in rows if row["what"] == "done"]
    ran = {row["id"]: row for row in done}
    broken = []
    for answer in answers:
        write(answer.line())
        if answer.status in PROMISES and answer.id in ran:
            broken.append(
                f"REFUSED: {answer.id} ran at {ran[answer.id]['replica']} and its"
                f" client is told {answer.status}"
            )
        if not trouble and (answer.status != 200 or answer.error):
            broken.append(f"not served without trouble: {answer.line()}")
    runs = collections.Counter(row["target"] for row in done)
    write(f"actions: {ACTIONS}, run twice: {sum(n > 1 for n in runs.values())}")
    return broken


if __name__ == "__main__":
    sys.exit(scene.run_case(check, pathlib.Path(__file__).parent))
