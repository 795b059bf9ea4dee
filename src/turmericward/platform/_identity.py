"""Finds the workspace of a call by its key, which goes no further than this module.

Load pattern handled: one client that sends thousands of wrong keys a second.
"""

import threading
from collections.abc import Callable

from turmericward import delivery, httpd, routing, runtime, telemetry
from turmericward.platform import _headers

_KEY_VARIABLE = "HTTP_" + _headers.KEY.upper().replace("-", "_")
# Another front may know the key at once; this one does after the store's next answer.
STALE_RETRY_S = 0.5
# At most one line for each reason in this time; it tells how many calls it stands for.
LINE_INTERVAL_S = 1.0
UNKNOWN_KEY = "unknown_key"
STALE_CONFIGURATION = "stale_configuration"


class LineLimit:
    """Decides which of many equal events are logged; times are monotonic seconds."""

    def __init__(self, interval_s: float = LINE_INTERVAL_S) -> None:
        """Creates the limit; the first event of each kind is logged."""
        self._interval_s = interval_s
        self._logged_at: dict[str, float] = {}
        self._left_out: dict[str, int] = {}

    def admit(self, kind: str, now: float) -> int:
        """Returns for how many events a line stands now, 0 if none is written."""
        if now - self._logged_at.get(kind, float("-inf")) < self._interval_s:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return 0
        self._logged_at[kind] = now
        return 1 + self._left_out.pop(kind, 0)


class KeyRefusals:
    """Counts each refusal and logs some; thread-safe. The key is given to neither."""

    def __init__(self, metrics: telemetry.Metrics, clock: Callable[[], float]) -> None:
        """Creates the log of one front; `clock` returns monotonic seconds."""
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._limit = LineLimit()

    def add(
        self, reason: str, status: int, route: routing.Route, *, version: int, key: bool
    ) -> None:
        """Reports one refusal.

        Args:
            reason: `UNKNOWN_KEY` or `STALE_CONFIGURATION`.
            status: status of the reply.
            route: route of the call.
            version: version of the configuration in force.
            key: whether the call has any key.
        """
        self._metrics.count(f"refused.{reason}")
        with self._lock:
            calls = self._limit.admit(reason, self._clock())
        if calls:
            telemetry.log_event(
                "refusal",
                status=status,
                reason=reason,
                route=route.name,
                version=version,
                key="unknown" if key else "none",
                calls=calls,
            )


def find_route(table: routing.RoutingTable, environ, target: str) -> routing.Route:
    """Returns the route of a request.

    Raises:
        NoRouteError: the table has none.
    """
    host = environ.get("HTTP_HOST", "").lower().partition(":")[0]
    return table.find(host, target.partition("?")[0])


class Identification:
    """Identifies the callers of one front."""

    def __init__(self, ctx: delivery.Context, is_current: Callable[[], bool]) -> None:
        """Creates it.

        Args:
            ctx: has the table in force.
            is_current: returns whether that is the latest one, as far as the freshness
                bound tells; called for unknown keys only.
        """
        self._ctx = ctx
        self._is_current = is_current
        self._refusals = KeyRefusals(ctx.metrics, runtime.now)

    def identify(
        self, environ, table: routing.RoutingTable, route: routing.Route
    ) -> routing.Workspace | None:
        """Returns the workspace of a request, None if it has none.

        Raises:
            UnknownKeyError: no workspace has its key.
            StaleConfigurationError: none has its key here, but one may have it.
        """
        # The server gives the bytes of headers as Latin-1, several joined by commas.
        key = environ.get(_KEY_VARIABLE, "").encode("latin-1", "replace")
        try:
            return table.identify(route, key)
        except routing.UnknownKeyError:
            # A later table may have taken effect since the call was looked up.
            if self._is_current() and self._ctx.dispatch.table is table:
                self._report(UNKNOWN_KEY, 401, route, table, key)
                raise
        self._report(STALE_CONFIGURATION, 503, route, table, key)
        raise routing.StaleConfigurationError(
            "the key is unknown, and the configuration may be old"
        )

    def check_head(self, head: httpd.Head) -> httpd.Refusal | None:
        """Returns why a request is refused by its key, None if it isn't.

        The key is checked again when the request is complete.
        """
        table = self._ctx.dispatch.table
        if table is None or table.workspaces is None:
            return None
        environ = {
            name: head.headers.get(name.removeprefix("HTTP_"), "")
            for name in ("HTTP_HOST", _KEY_VARIABLE)
        }
        try:
            route = find_route(table, environ, head.target)
            self.identify(environ, table, route)
        except routing.UnknownKeyError as exc:
            return httpd.Refusal(status=401, phrase="Unauthorized", detail=str(exc))
        except routing.StaleConfigurationError as exc:
            return httpd.Refusal(
                status=503,
                phrase="Service Unavailable",
                detail=str(exc),
                retry_after_s=STALE_RETRY_S,
            )
        except routing.NoRouteError:
            return None
        return None

    def _report(self, reason: str, status: int, route, table, key: bytes) -> None:
        self._refusals.add(reason, status, route, version=table.version, key=bool(key))
