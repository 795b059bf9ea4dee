"""What the handlers of an entry share."""

import threading

import attrs

from turmericward import runtime, telemetry
from turmericward.entry import _errors, _follow_loop, _http, _mirror, _router_task

TENANT_BUSY_RETRY_S = 1.0
NOT_READY_RETRY_S = 2.0
ASK_S = 10.0
CLASS_HEADER = "x-traffic-class"


@attrs.frozen(kw_only=True)
class Caller:
    """The tenant behind a request and the class it is served in."""

    tenant: str
    traffic_class: str


class ThreadSeats:
    """Counts the server's busy threads and keeps some for urgent requests."""

    def __init__(self, threads: int, reserve: int) -> None:
        """Creates the count with every thread free."""
        self._lock = threading.Lock()
        self._busy = 0
        self._limit = threads - reserve

    def enter(self) -> None:
        """Notes that a thread took up a request."""
        with self._lock:
            self._busy += 1

    def leave(self) -> None:
        """Notes that a thread is free again."""
        with self._lock:
            self._busy -= 1

    def spare(self) -> bool:
        """Tells whether threads are free beyond the reserve."""
        with self._lock:
            return self._busy <= self._limit


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
        if traffic_class != "urgent" and not self.seats.spare():
            raise _errors.RequestFaultError(
                503,
                "overloaded",
                "all threads but the urgent reserve are busy",
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
