"""Slopes of state, messages and processor time, for docs/CAPACITY.md."""

import json
import os
import time
import tracemalloc

import attrs
import click
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from benchmarks import _tables
from turmericward import calls, configuration, fleet, requests
from turmericward.wire import ttypes

SIZES = (1000, 4000, 16000)
ENGINE_SIZES = (32, 128, 512)
REPEATS = 200
ENGINES_PER_MODEL = 32
_HEX = "0123456789abcdef" * 4


@attrs.frozen
class Slope:
    """Cost of one more item and fixed cost, from a least-squares line."""

    what: str
    unit: str
    per_item: float
    fixed: float
    at_sizes: list[float]


def _fit(what: str, unit: str, sizes: tuple, values: list[float]) -> Slope:
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    covariance = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    per_item = covariance / sum((x - mean_x) ** 2 for x in sizes)
    return Slope(what, unit, per_item, mean_y - per_item * mean_x, values)


def _value(number: int) -> tuple[str, str, dict]:
    """Returns a resource; three engines for each tenant, as in the target fleet."""
    if number % 4:
        address = f"10.{number // 60000}.{number // 250 % 240}.{number % 250}:8000"
        engine = {"domain": f"d{number % 8}", "address": address, "models": ["m1"]}
        return "engine", f"engine-{number}", engine
    return "tenant", f"tenant-{number}", {"key_sha256": [_HEX]}


def _change(number: int, expected: int) -> dict:
    kind, name, value = _value(number)
    change = configuration.Change(
        id=f"{number:032x}",
        producer="operator",
        kind=kind,
        name=name,
        expected=expected,
        value=value,
    )
    return configuration.encode(change)


def _ledger(size: int) -> configuration.Ledger:
    ledger = configuration.Ledger()
    ledger.apply(0, _change_of_model())
    for number in range(size):
        ledger.apply(number + 1, _change(number, 0))
    return ledger


def _change_of_model() -> dict:
    change = configuration.Change(
        id="m", producer="o", kind="model", name="m1", expected=0, value={}
    )
    return configuration.encode(change)


def _memory_kb(build) -> float:
    tracemalloc.start()
    value = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return used / 1024


def _cpu_ms(action, repeats: int = REPEATS) -> float:
    started = time.process_time()
    for number in range(repeats):
        action(number)
    return 1000 * (time.process_time() - started) / repeats


def _apply_ms(size: int) -> float:
    ledger = _ledger(size)
    raws = [_change(n, n + 2) for n in range(REPEATS)]
    return _cpu_ms(lambda n: ledger.apply(size + 1 + n, raws[n]))


def _view_ms(size: int) -> float:
    ledger = _ledger(size)
    builder = fleet.ViewBuilder("node", "d1", ENGINES_PER_MODEL)
    builder.update(ledger.live(), replace_all=True)

    def change(number: int) -> None:
        kind, name, value = _value(number)
        res = configuration.Resource(
            kind=kind, name=name, version=size + 2 + number, value=value
        )
        builder.update([res], replace_all=False)
        builder.view(frozenset(), {})

    return _cpu_ms(change, 20)


def _builder(size: int) -> fleet.ViewBuilder:
    builder = fleet.ViewBuilder("node", "d1", ENGINES_PER_MODEL)
    builder.update(_ledger(size).live(), replace_all=True)
    return builder


def _report_ms(size: int) -> float:
    builder = _builder(size)
    return _cpu_ms(lambda _: builder.view(frozenset(), {}))


def _claim(number: int) -> calls.Claim:
    return calls.Claim(
        id=f"{number:032x}",
        scope="tenant/alarm",
        key=f"key-{number}",
        fingerprint=_HEX,
        floor=0,
    )


def _settle(number: int) -> calls.Settle:
    answer = calls.Answer(
        status=200, content_type="application/json", body="x" * 64, truncated=False
    )
    return calls.Settle(
        id=f"{number:032x}",
        scope="tenant/alarm",
        key=f"key-{number}",
        ran=True,
        answer=answer,
    )


def _claims(size: int) -> calls.ClaimLedger:
    ledger = calls.ClaimLedger()
    for number in range(size):
        ledger.apply(2 * number, _claim(number))
        ledger.apply(2 * number + 1, _settle(number))
    return ledger


def _claim_ms(size: int) -> float:
    ledger = _claims(size)
    raws = [calls.encode(_claim(size + n)) for n in range(REPEATS)]
    return _cpu_ms(lambda n: ledger.apply(2 * size + n, calls.decode(raws[n])))


def _wire_bytes(struct) -> int:
    transport = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocol(transport))
    return len(transport.getvalue())


def _fleet_answer(engines: int) -> ttypes.FollowAnswer:
    instances = [
        ttypes.Instance(
            name=f"engine-{n}",
            domain="d1",
            address="10.1.2.3",
            leaving=False,
            kind="target",
        )
        for n in range(engines)
    ]
    loads = [
        ttypes.Load(
            engine=f"engine-{n}", role="mixed", running=12, queued=3, age_ms=250
        )
        for n in range(engines)
    ]
    return ttypes.FollowAnswer(
        applied=1,
        whole=False,
        resources=[],
        fleet_version=1,
        instances=instances,
        loads=loads,
        holds=[],
        ready=True,
        released=[],
    )


def _engines(count: int) -> tuple[fleet.EngineView, ...]:
    return tuple(
        fleet.EngineView(
            name=f"engine-{n}",
            domain="a",
            address="10.0.0.1:1",
            role="mixed",
            priority=0,
        )
        for n in range(count)
    )


def _choose_ms(count: int) -> float:
    classes = {"patient": requests.Bounds(first_token_s=1e9)}
    router = requests.Router(1, "a", classes)
    engines = _engines(count)
    load = fleet.LoadView(running=3, queued=0, role="mixed", at=0.0)
    reports = {e.name: load for e in engines}
    body = {"model": "m", "prompt": "x" * 4000}

    def choose(number: int) -> None:
        demand = requests.demand_of(body, "t", "patient")
        now = float(number)
        assignment = router.choose(demand, engines, reports, frozenset(), now).unwrap()
        router.finished(assignment, False, now)

    return _cpu_ms(choose)


def _measure() -> list[Slope]:
    kb = [_memory_kb(lambda s=s: _ledger(s)) for s in SIZES]
    claims_kb = [_memory_kb(lambda s=s: _claims(s)) for s in SIZES]
    views_kb = [_memory_kb(lambda s=s: _builder(s)) for s in SIZES]
    snapshots = [len(json.dumps(_ledger(s).snapshot())) / 1024 for s in SIZES]
    answers = [_wire_bytes(_fleet_answer(n)) / 1024 for n in ENGINE_SIZES]
    return [
        _fit("ledger memory / resource", "KB", SIZES, kb),
        _fit("view memory / resource", "KB", SIZES, views_kb),
        _fit("snapshot size / resource", "KB", SIZES, snapshots),
        _fit("fold of a change / resource", "ms", SIZES, [_apply_ms(s) for s in SIZES]),
        _fit(
            "view after a change / resource", "ms", SIZES, [_view_ms(s) for s in SIZES]
        ),
        _fit(
            "view after a report / resource",
            "ms",
            SIZES,
            [_report_ms(s) for s in SIZES],
        ),
        _fit("claims memory / key", "KB", SIZES, claims_kb),
        _fit("fold of a claim / key", "ms", SIZES, [_claim_ms(s) for s in SIZES]),
        _fit("fleet answer / engine", "KB", ENGINE_SIZES, answers),
        _fit(
            "choice of an engine / engine",
            "ms",
            ENGINE_SIZES,
            [_choose_ms(n) for n in ENGINE_SIZES],
        ),
    ]


def _bytes() -> list[list]:
    change = len(json.dumps(_change(1, 1)))
    claim = len(json.dumps(calls.encode(_claim(1))))
    settle = len(json.dumps(calls.encode(_settle(1))))
    return [["change", change], ["claim", claim], ["settlement", settle]]


@click.command()
@click.option("--json", "path", default=None, help="file to write the result to")
def main(path: str | None) -> None:
    """Prints slopes over three sizes each and the sizes of log records."""
    slopes = _measure()
    rows = [
        [s.what, s.unit, s.per_item, s.fixed, *[float(v) for v in s.at_sizes]]
        for s in slopes
    ]
    columns = ["slope", "unit", "each", "fixed", "small", "middle", "large"]
    _tables.show(f"Slopes ({SIZES}, engines {ENGINE_SIZES})", columns, rows)
    _tables.show("Records on the log", ["record", "bytes"], _bytes())
    _tables.write(path, [attrs.asdict(s) for s in slopes])
    click.echo(f"\nprocess {os.getpid()}, processor {time.process_time():.1f} s")


if __name__ == "__main__":
    main()
