"""The relay of one stream over engines that fail in scripted ways."""

import types

from tests import fixtures, test_router_task
from turmericward import requests, settings
from turmericward.adapters import engine, errors
from turmericward.entry import _errors, _http, _relay

check = fixtures.check


class _Stream(engine.Stream):
    """Yields the given batches of event numbers, then breaks off or ends."""

    def __init__(self, batches, ends: bool) -> None:
        self._batches = batches
        self._ends = ends

    def events(self):
        for batch in self._batches:
            yield [engine.Event(seq=n, data=str(n).encode()) for n in batch]
        if not self._ends:
            raise errors.AnswerLostError("broke off")

    def close(self) -> None:
        pass


class _Scripted(_relay.Relay):
    """Opens the scripted streams in turn, from the event asked for."""

    def __init__(self, streams) -> None:
        cfg = settings.loads(fixtures.json.dumps(test_router_task.DOCUMENT))
        ctx = types.SimpleNamespace(
            cfg=cfg, router=types.SimpleNamespace(post=lambda message: None)
        )
        demand = requests.demand_of({"model": "m", "prompt": "x"}, "t", "patient")
        req = _http.Request(
            id="r",
            method="POST",
            path="/v1/completions",
            query={},
            raw_query="",
            headers={},
            body=b"{}",
        )
        super().__init__(ctx, demand, req)
        self._streams = iter(streams)
        self.asked = []

    def _next_engine(self):
        self._assignment = requests.Assignment(id=1, engine="e", address="", tokens=1)
        self._attempts += 1
        return self

    def stream(self, job, *, first_s, idle_s, after):
        self.asked.append(after)
        return next(self._streams)


def _relayed(*streams) -> tuple[list[int], list[int]]:
    relay = _Scripted(streams)
    relay.open()
    events = [event.seq for batch in relay.events() for event in batch]
    return events, relay.asked


def test_streams_are_put_together_without_gap_or_repeat():
    whole = [1, 2, 3, 4]
    cases = [
        ("whole", [_Stream([[1, 2], [3, 4]], True)], [0]),
        ("twice", [_Stream([[1, 1], [2, 2, 3], [3, 4]], True)], [0]),
        ("broken", [_Stream([[1, 2]], False), _Stream([[3, 4]], True)], [0, 2]),
        ("restarted", [_Stream([[1]], False), _Stream([[1, 2, 3, 4]], True)], [0, 1]),
        ("gap alone", [_Stream([[1], [3]], True), _Stream([[2, 3, 4]], True)], [0, 1]),
        ("gap in a batch", [_Stream([[1, 2, 4]], True), _Stream([[3, 4]], True)],
         [0, 2]),
        ("late gap", [_Stream([[1, 2], [3, 4, 4]], True)], [0]),
    ]  # fmt: skip
    for name, streams, asked in cases:
        check.assertEqual(_relayed(*streams), (whole, asked), name)


def test_a_stream_that_broke_before_its_first_event_is_a_true_error():
    with check.assertRaises(_errors.RequestFaultError) as caught:
        _relayed(_Stream([], False))
    check.assertEqual(caught.exception.outcome, _errors.RanState.UNKNOWN)
