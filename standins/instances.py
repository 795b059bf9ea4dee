"""Stand-in for the platform's list of live and leaving instances.

`POST /instances` replaces the rows; `POST /_faults` sets `outage` and `lag_s`.
"""

import threading
import time

import click

from standins import _http


class InstanceList:
    """The instance rows; a new version becomes visible after a lag."""

    def __init__(self) -> None:
        """Starts with no rows, no lag and no outage."""
        self._lock = threading.Lock()
        self._versions: list[tuple[float, list]] = [(0.0, [])]
        self._outage = False
        self._lag_s = 0.0

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one request."""
        with self._lock:
            if req.url.path == "/_faults":
                self._outage = req.json().get("outage", self._outage)
                self._lag_s = req.json().get("lag_s", self._lag_s)
                req.answer(200, {})
            elif self._outage:
                req.answer(503, {"error": "outage"})
            elif req.command == "POST":
                visible_at = time.monotonic() + self._lag_s
                self._versions.append((visible_at, req.json()["instances"]))
                req.answer(200, {})
            else:
                now = time.monotonic()
                visible = [rows for at, rows in self._versions if at <= now]
                req.answer(200, {"instances": visible[-1]})


@click.command()
@_http.listen_option
def main(listen: str) -> None:
    """Serves an empty list until SIGTERM."""
    _http.serve(listen, InstanceList())


if __name__ == "__main__":
    main()
