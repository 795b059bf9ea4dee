"""Stand-in for an ordinary service that records each executed call.

Faults are set by `POST /_faults`: `die_after_run`, `lose_answers` and `delay_s`.
`GET /_ran` returns the bodies of all executed calls.
"""

import json
import os
import pathlib
import socket
import threading
import time

import attrs
import click

from standins import _http


@attrs.define
class _Faults:
    die_after_run: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0


class Service:
    """Executes every call but GET and responds with the call's number."""

    def __init__(self, name: str, record: str) -> None:
        """Appends executed calls to the file `record`."""
        self._name = name
        self._record = pathlib.Path(record)
        self._record.touch()
        self._lock = threading.Lock()
        self._faults = _Faults()

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one request."""
        if req.url.path == "/_faults":
            for name, value in req.json().items():
                setattr(self._faults, name, value)
            req.answer(200, {})
        elif req.url.path == "/_ran":
            with self._lock:
                req.answer(200, {"ran": self._executed_bodies()})
        elif req.command == "GET":
            req.answer(200, {"service": self._name, "status": "ok"})
        else:
            self._run(req)

    def _executed_bodies(self) -> list[str]:
        return [json.loads(line) for line in self._record.read_text().splitlines()]

    def _run(self, req: _http.Handler) -> None:
        time.sleep(self._faults.delay_s)
        with self._lock:
            with self._record.open("a") as out:
                out.write(json.dumps(req.body.decode()) + "\n")
            number = len(self._executed_bodies())
            answer_lost = self._faults.lose_answers > 0
            self._faults.lose_answers -= answer_lost
        if self._faults.die_after_run:
            os._exit(1)
        if answer_lost:
            req.close_connection = True
            req.connection.shutdown(socket.SHUT_RDWR)
            return
        headers = [("X-Request-Id", req.headers.get("X-Request-Id", ""))]
        req.answer(200, {"service": self._name, "run": number}, headers)


@click.command()
@_http.listen_option
@click.option("--name", required=True)
@click.option("--record", required=True, help="file that outlives the process")
def main(listen: str, name: str, record: str) -> None:
    """Serves until SIGTERM."""
    _http.serve(listen, Service(name, record))


if __name__ == "__main__":
    main()
