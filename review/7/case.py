"""Streams without a length whose channels are reset: does one look complete?"""

import contextlib
import pathlib
import sys
import tempfile
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

import callers  # noqa: E402
import engine  # noqa: E402
import scene  # noqa: E402
import stand_ins  # noqa: E402

# `answer_lost` with `reset`: at most 0.6 of the engines, and 0.4 of their answers;
# here 3 of 6, p1 included, for 4.0 s (engine.LOSS_S) at a time.
ENGINES = ("m1", "m2", "m3", "m4", "m5")
LOSING = ("m1", "m2", "m5")
MAX_LOST_SHARE = 0.4
LONG_STREAMS = 36
LONG_GAP_S = 2.2
SHORT_GAP_S = 0.05
DEADLINE_S = 4.0


def run(stack: contextlib.ExitStack, record: scene.Record) -> int:
    """Plays the scene; returns the exit status."""
    folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
    store = stand_ins.Store()
    ports = stand_ins.free_ports(6 + len(ENGINES))
    store_address = f"127.0.0.1:{ports[0]}"
    stack.callback(stand_ins.Server(store, store_address).end)
    asking = {"timeout_ms": 4000, "objective_ms": 400, "gap_ms": 250, "priority": 0}
    routes = [scene.route("ask", "streaming", "llm", resumable=True, **asking)]
    store.put("keyed.op", "config", scene.manifest(1, routes, ["llm"]))
    stack.callback(engine.PrefillEngine("p1", f"127.0.0.1:{ports[5]}").end)
    fields = {"stage": engine.PREFILL, "slots": 64}
    entry = scene.entry("llm", f"127.0.0.1:{ports[5]}", "a", 1000, **fields)
    store.put("keyed.servers", "p1", entry)
    engines = []
    for name, port in zip(ENGINES, ports[6:], strict=True):
        address = f"127.0.0.1:{port}"
        loses = name in LOSING and scene.trouble()
        engines.append(engine.Engine(name, address, loses=loses))
        stack.callback(engines[-1].end)
        entry = scene.entry("llm", address, "a", 1000, stage="decode", slots=64)
        store.put("keyed.servers", name, entry)
    names = ("front", "ready", "peers", "metrics")
    addresses = {"host": "127.0.0.1", **dict(zip(names, ports[1:5], strict=True))}
    front = scene.Front("front-1", "a", addresses, store_address, folder)
    stack.callback(front.end)
    front.start()
    front.wait_ready()
    time.sleep(4.0)
    crowd = callers.Callers(front.address, record, engines[0].events, DEADLINE_S)
    for made in engines:
        # The first long stream is sent then.
        made.losses_from = time.monotonic() + LONG_GAP_S
    _play(crowd)
    for made in engines:
        for at, call_id, text in made.log:
            record.add(f"{call_id} {text}", at)
    runs = sum("runs after" in text for e in engines if e.loses for *_, text in e.log)
    lost = sum(made.lost for made in engines)
    result = (
        f"{crowd.counts()}; {crowd.wrong} break the rule;"
        f" {lost} answers of {runs} runs lost"
    )
    record.add(result)
    print(result)
    if lost > MAX_LOST_SHARE * runs:
        print("more answers were lost than the pages allow")
        return scene.NOT_RUN
    return scene.BROKEN if crowd.wrong else scene.HELD


def _play(crowd: callers.Callers) -> None:
    """Sends short streams all the time, and a long one now and then."""
    began = time.monotonic()
    threads, shorts, longs = [], 0, 0
    while longs < LONG_STREAMS:
        short = time.monotonic() < began + (longs + 1) * LONG_GAP_S
        shorts, longs = shorts + short, longs + (not short)
        # Ids are hexadecimal; those of long streams begin with 1.
        call_id = f"{shorts:08x}" if short else f"1{longs:07x}"
        path = f"/ask/{'short' if short else 'long'}/{call_id}"
        threads.append(threading.Thread(target=crowd.call, args=(path, call_id)))
        threads[-1].start()
        time.sleep(SHORT_GAP_S)
    for thread in threads:
        thread.join()


def main() -> int:
    """Runs the case."""
    scene.check_build()
    with contextlib.ExitStack() as stack:
        return run(stack, scene.Record(FOLDER))


if __name__ == "__main__":
    sys.exit(main())
