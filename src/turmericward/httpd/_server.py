"""HTTP server whose shutdown lets requests in progress finish."""

import functools
import math
import threading
import time
from collections.abc import Callable
from concurrent import futures

import attrs
import waitress.server
from waitress import wasyncore

from turmericward import runtime, telemetry
from turmericward.httpd import _channel, _idle, _workers

DRAIN_POLL_S = 0.05
CONNECTION_LIMIT = 4000
IDLE_TIMEOUT_S = 3600.0
HEADER_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 256 * 1024
RECV_BYTES = 65536
LISTEN_BACKLOG = 1024
PROBE_THREADS = 1


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of a server.

    `balancer_lag_s` is how long the load balancer takes to notice that the server
    is no longer ready.
    """

    threads: int
    max_body_bytes: int
    balancer_lag_s: float
    connections: int = CONNECTION_LIMIT


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits on request sizes, header time and idle time of a client."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Server:
    """A waitress server with graceful shutdown."""

    def __init__(
        self,
        app,
        address: tuple[str, int],
        limits: Limits,
        drain: runtime.Drain | None = None,
    ) -> None:
        """Binds the listening socket.

        Args:
            app: the WSGI callable.
            address: IP address and port.
            limits: limits of the server, and the delay at its shutdown.
            drain: time bounds of the shutdown; unbounded if None.
        """
        self._limits = limits
        self._drain_bounds = drain or runtime.Drain(math.inf)
        self._map: dict = {}
        self._client_limits = ClientLimits(
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self._server = self._listen(app, address, limits.threads)

    def _listen(self, app, address: tuple[str, int], threads: int):
        host, port = address
        server = waitress.server.create_server(
            app,
            map=self._map,
            host=host,
            port=port,
            threads=threads,
            _dispatcher=_workers.GrowingDispatcher(threads),
            backlog=LISTEN_BACKLOG,
            connection_limit=self._limits.connections,
            max_request_header_size=self._client_limits.max_header_bytes,
            max_request_body_size=self._client_limits.max_body_bytes,
            recv_bytes=RECV_BYTES,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        server.channel_class = _channel.Channel
        server.draining = False
        server.lingering = set()
        monitor = _idle.IdleMonitor()
        server.maintenance = functools.partial(self._close_idle, server, monitor)
        return server

    def set_client_limits(self, limits: ClientLimits) -> None:
        """Sets the limits for later requests; may be called from any thread."""
        self._client_limits = limits
        # Read by waitress for each new request; it also rejects a size equal to the
        # maximum.
        self._server.adj.max_request_header_size = limits.max_header_bytes + 1
        self._server.adj.max_request_body_size = limits.max_body_bytes + 1

    def _close_idle(self, server, monitor: _idle.IdleMonitor, _) -> None:
        # Makes waitress call this in every iteration of its event loop; otherwise it
        # would schedule the calls by wall-clock time.
        server.next_channel_cleanup = 0
        now = runtime.now()
        if not monitor.is_due(now):
            return
        states = [c.idle_state() for c in server.active_channels.values()]
        limits = self._client_limits
        idle_states = [idle_state for idle_state in states if idle_state is not None]
        for conn in monitor.find_expired(
            idle_states, limits.idle_timeout_s, limits.header_timeout_s, now
        ):
            conn.close_idle()
        for lingering in list(server.lingering):
            lingering.close_expired(now)

    def add_probe(self, app, address: tuple[str, int]) -> None:
        """Serves a probe application on another address with its own thread.

        It is not delayed by other requests and continues while the server drains.
        """
        self._listen(app, address, PROBE_THREADS)

    def run(self, stop: threading.Event, on_stop: Callable[[], None]) -> None:
        """Serves until `stop` is set, then drains and returns.

        Args:
            stop: starts the drain.
            on_stop: called before the drain, to report the server as not ready.
        """
        with futures.ThreadPoolExecutor(max_workers=1) as executor:
            drained = executor.submit(self._drain_after, stop, on_stop)
            self._server.run()
        drained.result()

    def _drain_after(self, stop: threading.Event, on_stop) -> None:
        stop.wait()
        self._drain_bounds.begin()
        on_stop()
        self._drain()

    def _drain(self) -> None:
        """Waits for the balancer, stops listening and waits for open requests."""
        self._server.draining = True
        self._log_phase("stop_phase", phase="leaving")
        time.sleep(self._limits.balancer_lag_s)
        closed = threading.Event()
        self._run_in_loop(self._close_listener, closed)
        closed.wait()
        self._log_phase("stop_phase", phase="finishing")
        while self._has_open_requests():
            time.sleep(DRAIN_POLL_S)
        self._log_phase("stop_ended", how="complete")
        self._run_in_loop(self._stop)

    def _run_in_loop(self, action, done: threading.Event | None = None) -> None:
        def run_action() -> None:
            action()
            if done is not None:
                done.set()

        self._server.trigger.pull_trigger(run_action)

    def _close_listener(self) -> None:
        # `self._server.close` would also close the pipe that wakes the event loop.
        wasyncore.dispatcher.close(self._server)

    def _has_open_requests(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(c.requests or c.request or c.total_outbufs_len for c in channels)

    def _log_phase(self, event: str, **fields: str) -> None:
        channels = list(self._server.active_channels.values())
        telemetry.log_event(
            event,
            **fields,
            elapsed_s=round(self._drain_bounds.elapsed_s, 3),
            connections=len(channels),
            requests=sum(len(c.requests) for c in channels),
            queued=len(self._server.task_dispatcher.queue),
            idle=sum(c.idle_state() is not None for c in channels),
        )

    def _stop(self) -> None:
        self._server.task_dispatcher.shutdown()
        self._map.clear()
