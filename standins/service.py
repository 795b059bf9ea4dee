"""Stand-in for a plain service that records each call it ran.

Faults are set by `POST /_faults`: `die_after_run`, `lose_answers` and `delay_s`.
`GET /_ran` returns the bodies of all calls that ran.
"""

import os
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
    """Runs every call that is no read, and answers with its number."""

    def __init__(self, name: str) -> None:
        """Creates a service that has run nothing."""
        self._name = name
        self._lock = threading.Lock()
        self._ran: list[str] = []
        self._faults = _Faults()

    def do(self, req: _http.Handler) -> None:
        """Answers one request."""
        if req.url.path == "/_faults":
            for name, value in req.json().items():
                setattr(self._faults, name, value)
            req.answer(200, {})
        elif req.url.path == "/_ran":
            with self._lock:
                req.answer(200, {"ran": self._ran})
        elif req.command == "GET":
            req.answer(200, {"service": self._name, "status": "ok"})
        else:
            self._run(req)

    def _run(self, req: _http.Handler) -> None:
        time.sleep(self._faults.delay_s)
        with self._lock:
            self._ran.append(req.body.decode())
            number = len(self._ran)
            lost = self._faults.lose_answers > 0
            self._faults.lose_answers -= lost
        if self._faults.die_after_run:
            os._exit(1)
        if lost:
            req.close_connection = True
            req.connection.shutdown(socket.SHUT_RDWR)
            return
        headers = [("X-Request-Id", req.headers.get("X-Request-Id", ""))]
        req.answer(200, {"service": self._name, "run": number}, headers)


@click.command()
@_http.listen_option
@click.option("--name", required=True)
def main(listen: str, name: str) -> None:
    """Serves the service."""
    _http.serve(listen, Service(name))


if __name__ == "__main__":
    main()
