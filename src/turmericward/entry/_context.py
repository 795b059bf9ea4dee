"""What the handlers of an entry share."""

import threading

import attrs

from turmericward import runtime, telemetry
from turmericward.entry import _errors, _follow_loop, _http, _mirror, _router_task

TENANT_BUSY_RETRY_S = 1.0
NOT_READY_RETRY_S = 2.0
ASK_S = 10.0
CLASS_HEADER = "x-traffic-class"
URGENT = "urgent"
REFUSING_THREADS = 2


@attrs.frozen(kw_only=True)
class Caller:
    """The tenant behind a request and the class it is served in."""

    tenant: str
    traffic_class: str


class ThreadSeats:
    """Counts the server's busy threads.

    Some are kept for urgent requests, and a few for refusing: a request that
    waits for a thread can't be told to come back.
    """

    def __init__(self, threads: int, urgent_reserve: int) -> None:
        """Creates the count with every thread free."""
        self._lock = threading.Lock()
        self._busy = 0
        self._urgent_limit = threads - REFUSING_THREADS
        self._other_limit = self._urgent_limit - urgent_reserve

    def enter(self) -> None:
        """Notes that a thread took up a request."""
        with self._lock:
            self._busy += 1

    def leave(self) -> None:
        """Notes that a thread is free again."""
        with self._lock:
            self._busy -= 1

    def allow(self, *, urgent: bool) -> bool:
        """Tells whether the request of the calling thread may be served."""
        with self._lock:
            return self._busy <= (self._urgent_limit if urgent else self._other_limit)


@attrs.frozen(kw_only=True)
class Context:
    """The entry's settings, tasks and counters."""

    cfg: object
    name: str
    mirror: _mirror.Mirror
    router: _router_task.RouterTask
    follow: _follow_loop.FollowLoop
    metrics: telemetry.Metrics
    seats: ThreadSeats
    draining: threading.Event = attrs.field(factory=threading.Event)

    def ask_router(self, message: object) -> object:
        """Sends a message to the router and waits for the answer."""
        return self.router.ask(message).result(ASK_S)

    def view(self):
        """Returns the latest view.

        Raises:
            RequestFaultError: there is none yet.
        """
        view = self.router.view
        if view is None:
            raise _errors.RequestFaultError(
                503,
                "not_ready",
                "entry has no configuration yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        return view

    def caller(self, req: _http.Request) -> Caller:
        """Finds the tenant by the request's key, and the class.

        Raises:
            RequestFaultError: the key or the class is unknown.
        """
        view = self.view()
        tenant = view.tenants_by_key.get(bearer_digest(req))
        if tenant is None:
            raise _errors.RequestFaultError(
                401, "invalid_api_key", "API key is missing or unknown"
            )
        req.trace.tenant = tenant
        default = view.tenants[tenant].default_class
        traffic_class = req.headers.get(CLASS_HEADER, default)
        if traffic_class not in self.cfg.entry.classes:
            msg = f"traffic class {traffic_class!r} does not exist"
            raise _errors.RequestFaultError(400, "invalid_class", msg)
        req.trace.traffic_class = traffic_class
        if not self.seats.allow(urgent=traffic_class == URGENT):
            raise _errors.RequestFaultError(
                503,
                "overloaded",
                f"no thread is free for {traffic_class} requests",
                retry_after_s=TENANT_BUSY_RETRY_S,
            )
        return Caller(tenant=tenant, traffic_class=traffic_class)

    def enter_tenant(self, tenant: str) -> None:
        """Counts a request for its tenant.

        Raises:
            RequestFaultError: the tenant has as many in flight as it may.
        """
        if not self.ask_router(_router_task.Enter(tenant=tenant)):
            raise _errors.RequestFaultError(
                429,
                "tenant_limit",
                f"tenant {tenant!r} has too many requests in flight",
                retry_after_s=TENANT_BUSY_RETRY_S,
            )

    def leave_tenant(self, tenant: str) -> None:
        """Ends the count that `enter_tenant` began."""
        self.router.post(_router_task.Leave(tenant=tenant))


def bearer_digest(req: _http.Request) -> str:
    """Returns the SHA-256 digest of the request's bearer key, or an empty string."""
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return ""
    return runtime.sha256_hex(key.strip())
