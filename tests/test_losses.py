"""Counting late and lost calls in the logs of fronts by outcome and first cause."""

import json

from click import testing

from tests import fixtures
from turmericward.programs import _losses, cli

check = fixtures.check
INSTANCE = "front-1"


def _line(message: str, call: str, **fields) -> str:
    return json.dumps(
        {
            "time": "2026-01-02 03:04:05,678",
            "message": message,
            "instance": INSTANCE,
            "request_id": call,
        }
        | fields
    )


def _placed(call: str, **fields) -> str:
    return _line("placed", call, **({"expected_s": 0.1, "deferred": False} | fields))


def _reply(call: str, outcome: str = "streamed", **fields) -> str:
    defaults = {
        "route": "ask",
        "outcome": outcome,
        "status": 200,
        "reason": "",
        "stopped": "",
        "first_s": 0.1,
        "objective_s": 0.2,
        "pause_s": 0.05,
        "max_pause_s": 0.2,
    }
    return _line("reply", call, **(defaults | fields))


def _began(call: str, took_s: float) -> str:
    return _line("began", call, took_s=took_s)


def _failed(call: str) -> str:
    return _line("attempt", call, outcome="failed")


REFUSED = {"status": 503, "first_s": None}
TRACES = {
    ("late", "pause between events"): [
        _placed("a"),
        _began("a", 0.1),
        _reply("a", pause_s=0.21),
    ],
    ("late", "target silent"): [
        _placed("silent"),
        _began("silent", 0.1),
        _line("attempt_late", "silent", silent_s=1.0),
        _failed("silent"),
        _reply("silent", pause_s=1.4),
    ],
    ("late", "deferred"): [
        _placed("b", deferred=True),
        _began("b", 0.3),
        _reply("b", first_s=0.3),
    ],
    ("late", "slower than expected"): [
        _placed("c"),
        _began("c", 0.3),
        _reply("c", first_s=0.3),
    ],
    ("late", "hand-over waited"): [
        _placed("d", prefill_only=True),
        _began("d", 0.1),
        _placed("d"),
        _began("d", 0.4),
        _reply("d", first_s=0.5),
    ],
    ("client left", "deferred"): [
        _placed("e", deferred=True),
        _reply("e", "client_gone", status=499, first_s=None),
    ],
    ("refused", "expected wait"): [
        _reply("f", "refused", reason="overloaded", **REFUSED)
    ],
    ("refused", "no target"): [_reply("g", "refused", reason="no_target", **REFUSED)],
    ("refused", "limits used up"): [
        _reply("l", "refused", reason="targets_limited", **REFUSED)
    ],
    ("late", "waited at a limited target"): [
        _placed("m", start_after_s=0.2),
        _began("m", 0.1),
        _reply("m", first_s=0.3),
    ],
    ("failed", "retry budget empty"): [
        _placed("h"),
        _failed("h"),
        _reply("h", "answered", status=500, stopped="retry_budget"),
    ],
    ("failed", "target failed"): [
        _placed("i"),
        _failed("i"),
        _reply("i", "outcome_unknown", status=502, first_s=None),
    ],
    ("log ends", "front's log ends"): [_placed("j")],
}


def _lines() -> list[str]:
    start = {"message": "front starts", "instance": INSTANCE, "domain": "north"}
    on_time = [_placed("k"), _began("k", 0.1), _reply("k")]
    return [
        "no JSON",
        json.dumps(start),
        *(line for lines in TRACES.values() for line in lines),
        *on_time,
    ]


def test_each_late_or_lost_call_is_counted_once_by_its_first_cause():
    losses = _losses.count_losses(_lines())
    causes = {(g.outcome, g.cause): count for g, count in losses.groups.items()}
    check.assertEqual(causes, dict.fromkeys(TRACES, 1))
    check.assertEqual(sum(losses.calls_by_route.values()), len(TRACES) + 1)
    check.assertEqual({g.domain for g in losses.groups}, {"north"})
    check.assertEqual(sum(losses.seconds.values()), len(TRACES))


def test_the_command_prints_a_table_or_json():
    runner = testing.CliRunner()
    with runner.isolated_filesystem():
        with open("log", "w", encoding="utf-8") as file:
            file.writelines(
                f"{line}\n" for line in [*_lines(), *TRACES["late", "deferred"]]
            )
        done = runner.invoke(cli.main, ["losses", "log"])
        check.assertEqual(done.exit_code, 0, done.output)
        as_json = runner.invoke(cli.main, ["losses", "-o", "json", "log"])
    check.assertEqual(len(done.output.splitlines()), len(TRACES) + 1)
    check.assertEqual(
        sum(group["calls"] for group in json.loads(as_json.output)["groups"]),
        len(TRACES),
    )
