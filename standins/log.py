"""Stand-in for the platform's append-only log, with fault injection.

Faults are set by `POST /_faults`: `outage`, `lose_answers` (that many appends
take effect and return 500), `refuse` (that many return 500 without effect),
`delay_s`, and `retain` (records retained for each stream). `return_from_copy` brings
the log back from a copy of `copy_now`; each return begins a new era, which all answers
name in `Log-Era`. A read past the end of a stream gets 410.
"""

import copy
import threading
import time

import attrs
import click

from standins import _http


@attrs.define
class _Stream:
    first: int = 0
    values: list = attrs.field(factory=list)

    def append(self, values: list, retain: int) -> int:
        start = self.first + len(self.values)
        self.values += values
        excess = max(0, len(self.values) - retain)
        if excess:
            del self.values[:excess]
            self.first += excess
        return start

    @property
    def end(self) -> int:
        return self.first + len(self.values)

    def read(self, start: int, limit: int) -> list[dict]:
        rows = self.values[start - self.first :][:limit]
        return [{"offset": start + n, "value": v} for n, v in enumerate(rows)]


@attrs.define
class _Faults:
    outage: bool = False
    lose_answers: int = 0
    refuse: int = 0
    delay_s: float = 0.0
    retain: int = 1_000_000


class Log:
    """Streams of JSON records, in memory."""

    def __init__(self) -> None:
        """Starts without streams and faults."""
        self._changed = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        self._copy: dict[str, _Stream] = {}
        # Value of the era's header; None for a log without eras.
        self.era: int | str | None = 1
        self._faults = _Faults()
        self.appends = 0

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one request."""
        if req.url.path == "/_faults":
            self._set_faults(req)
            return
        if self._faults.delay_s:
            time.sleep(self._faults.delay_s)
        if self._faults.outage:
            req.answer(503, {"error": "outage"})
            return
        stream = req.url.path.split("/")[2]
        if req.command == "POST":
            self._append(req, stream)
        else:
            self._read(req, stream)

    def _set_faults(self, req: _http.Handler) -> None:
        with self._changed:
            faults = req.json() or {}
            if faults.pop("copy_now", False):
                self._copy = copy.deepcopy(self._streams)
            if faults.pop("return_from_copy", False):
                self._streams = copy.deepcopy(self._copy)
                self.era += 1
            for name, value in faults.items():
                setattr(self._faults, name, value)
            self._changed.notify_all()
            req.answer(200, attrs.asdict(self._faults) | {"appends": self.appends})

    def _use_fault(self, fault: str) -> bool:
        remaining = getattr(self._faults, fault)
        if remaining:
            setattr(self._faults, fault, remaining - 1)
        return bool(remaining)

    def _append(self, req: _http.Handler, stream: str) -> None:
        with self._changed:
            if self._use_fault("refuse"):
                req.answer(500, {"error": "refused"})
                return
            records = self._streams.setdefault(stream, _Stream())
            first = records.append(req.json()["records"], self._faults.retain)
            self.appends += 1
            self._changed.notify_all()
            answer_lost = self._use_fault("lose_answers")
        if answer_lost:
            req.answer(500, {"error": "internal"})
        else:
            req.answer(200, {"first": first}, self._headers())

    def _read(self, req: _http.Handler, stream: str) -> None:
        start = int(req.query["from"])
        limit = int(req.query["limit"])
        deadline = time.monotonic() + float(req.query.get("wait", 0))
        with self._changed:
            records = self._streams.setdefault(stream, _Stream())
            while start == records.end:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or self._faults.outage:
                    break
                self._changed.wait(remaining_s)
                records = self._streams.setdefault(stream, _Stream())
            first = records.first
            past_end = start > records.end
            rows = records.read(start, limit) if start >= first else []
        if self._faults.outage:
            req.answer(503, {"error": "outage"})
        elif start < first or past_end:
            req.answer(410, {"first": first}, self._headers())
        else:
            body = {"records": rows, "next": start + len(rows), "first": first}
            req.answer(200, body, self._headers())

    def _headers(self) -> list[tuple[str, str]]:
        return [] if self.era is None else [("Log-Era", str(self.era))]


@click.command()
@_http.listen_option
def main(listen: str) -> None:
    """Serves an empty log until SIGTERM."""
    _http.serve(listen, Log())


if __name__ == "__main__":
    main()
