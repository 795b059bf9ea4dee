"""Stand-in for the platform's append-only log, with faults on demand.

Faults are set by `POST /_faults`: `outage`, `lose_answers` (that many appends
take effect and answer 500), `refuse` (that many answer 500 without effect),
`delay_s`, and `retain` (records kept for each stream).
"""

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
        surplus = max(0, len(self.values) - retain)
        if surplus:
            del self.values[:surplus]
            self.first += surplus
        return start

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
    """Streams of JSON records."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self._changed = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        self._faults = _Faults()
        self.appends = 0

    def do(self, req: _http.Handler) -> None:
        """Answers one request."""
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
            for name, value in (req.json() or {}).items():
                setattr(self._faults, name, value)
            self._changed.notify_all()
            req.answer(200, attrs.asdict(self._faults) | {"appends": self.appends})

    def _take(self, fault: str) -> bool:
        left = getattr(self._faults, fault)
        if left:
            setattr(self._faults, fault, left - 1)
        return bool(left)

    def _append(self, req: _http.Handler, stream: str) -> None:
        with self._changed:
            if self._take("refuse"):
                req.answer(500, {"error": "refused"})
                return
            found = self._streams.setdefault(stream, _Stream())
            first = found.append(req.json()["records"], self._faults.retain)
            self.appends += 1
            self._changed.notify_all()
            lost = self._take("lose_answers")
        if lost:
            req.answer(500, {"error": "internal"})
        else:
            req.answer(200, {"first": first})

    def _read(self, req: _http.Handler, stream: str) -> None:
        start = int(req.query["from"])
        limit = int(req.query["limit"])
        until = time.monotonic() + float(req.query.get("wait", 0))
        with self._changed:
            found = self._streams.setdefault(stream, _Stream())
            while start >= found.first + len(found.values):
                left_s = until - time.monotonic()
                if left_s <= 0 or self._faults.outage:
                    break
                self._changed.wait(left_s)
            first = found.first
            rows = found.read(start, limit) if start >= first else []
        if self._faults.outage:
            req.answer(503, {"error": "outage"})
        elif start < first:
            req.answer(410, {"first": first})
        else:
            body = {"records": rows, "next": start + len(rows), "first": first}
            req.answer(200, body)


@click.command()
@_http.listen_option
def main(listen: str) -> None:
    """Serves an empty log."""
    _http.serve(listen, Log())


if __name__ == "__main__":
    main()
