"""State shared by the request handlers of an entry."""

import threading

import attrs

from turmericward import delivery, runtime, telemetry
from turmericward.entry import _errors, _follow_loop, _http, _mirror, _router_task

BUSY_RETRY_AFTER_S = 1.0
NOT_READY_RETRY_AFTER_S = 2.0
# Other entries take the call at once.
STOPPING_RETRY_AFTER_S = 0.1
ROUTER_TIMEOUT_S = 10.0
CLASS_HEADER = "x-traffic-class"
URGENT = "urgent"
REFUSAL_THREADS = 2


@attrs.frozen(kw_only=True)
class Caller:
    """The tenant that sent a request and its traffic class."""

    tenant: str
    traffic_class: str


class ThreadLimiter:
    """Counts busy server threads and limits how many may serve requests.

    Some threads are reserved for urgent requests, and a few for refusals: a request
    that is queued for a thread can't be answered with Retry-After.
    """

    def __init__(self, threads: int, urgent_reserve: int) -> None:
        """Creates the limiter with all threads idle."""
        self._lock = threading.Lock()
        self._busy = 0
        self._urgent_limit = threads - REFUSAL_THREADS
        self._default_limit = self._urgent_limit - urgent_reserve

    def enter(self) -> None:
        """Records that a thread started to handle a request."""
        with self._lock:
            self._busy += 1

    def leave(self) -> None:
        """Records that a thread is idle again."""
        with self._lock:
            self._busy -= 1

    def allow(self, *, urgent: bool) -> bool:
        """Returns whether the calling thread, once counted, may serve its request."""
        with self._lock:
            return self._busy <= (self._urgent_limit if urgent else self._default_limit)


@attrs.frozen(kw_only=True)
class Context:
    """Settings, tasks and counters of an entry process."""

    cfg: object
    name: str
    mirror: _mirror.Mirror
    router: _router_task.RouterTask
    follow: _follow_loop.FollowLoop
    metrics: telemetry.Metrics
    thread_limiter: ThreadLimiter
    drain: runtime.Drain
    draining: threading.Event = attrs.field(factory=threading.Event)
    open_calls: delivery.OpenCalls = attrs.field(factory=delivery.OpenCalls)

    def ask_router(self, message: object) -> object:
        """Sends a message to the router task and waits for the reply."""
        return self.router.ask(message).result(ROUTER_TIMEOUT_S)

    def view(self):
        """Returns the latest view of the fleet.

        Raises:
            RequestError: no view has been received yet.
        """
        view = self.router.view
        if view is None:
            raise _errors.RequestError(
                503,
                "not_ready",
                "entry has no configuration yet",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        return view

    def caller(self, req: _http.Request) -> Caller:
        """Identifies the tenant by its API key and checks that a thread is available.

        Raises:
            RequestError: the key or the traffic class is unknown, or too many
                threads are busy.
        """
        view = self.view()
        tenant = view.tenants_by_key.get(bearer_digest(req))
        if tenant is None:
            raise _errors.RequestError(
                401, "invalid_api_key", "API key is missing or unknown"
            )
        req.log_fields.tenant = tenant
        default = view.tenants[tenant].default_class
        traffic_class = req.headers.get(CLASS_HEADER, default)
        if traffic_class not in self.cfg.entry.classes:
            msg = f"traffic class {traffic_class!r} does not exist"
            raise _errors.RequestError(400, "invalid_class", msg)
        req.log_fields.traffic_class = traffic_class
        if not self.thread_limiter.allow(urgent=traffic_class == URGENT):
            raise _errors.RequestError(
                503,
                "overloaded",
                f"no thread is free for {traffic_class} requests",
                retry_after_s=BUSY_RETRY_AFTER_S,
            )
        return Caller(tenant=tenant, traffic_class=traffic_class)

    def admit_request(self, tenant: str) -> None:
        """Counts a request towards its tenant's limit.

        Raises:
            RequestError: the tenant has reached its limit of requests in flight.
        """
        if not self.ask_router(_router_task.AdmitRequest(tenant=tenant)):
            raise _errors.RequestError(
                429,
                "tenant_limit",
                f"tenant {tenant!r} has too many requests in flight",
                retry_after_s=BUSY_RETRY_AFTER_S,
            )

    def must_end(self) -> bool:
        """Returns whether open calls have to get their final answers now."""
        return self.drain.until_deadline_s <= 0

    def check_stop(self, need_s: float = 0.0) -> None:
        """Checks that a call may begin, once its client may know that the entry stops.

        Args:
            need_s: the longest time that the call may take.

        Raises:
            RequestError: the entry may end before the call.
        """
        if self.drain.is_before_notice(self.drain.elapsed_s):
            need_s = 0.0
        if self.drain.until_deadline_s <= need_s:
            raise _errors.RequestError(
                503,
                "stopping",
                "entry stops before the call may have ended",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )

    def release_request(self, tenant: str) -> None:
        """Stops counting a request that `admit_request` admitted."""
        self.router.post(_router_task.ReleaseRequest(tenant=tenant))


def bearer_digest(req: _http.Request) -> str:
    """Returns the SHA-256 digest of the bearer token, or an empty string."""
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return ""
    return runtime.sha256_hex(key.strip())
