"""HTTP server that ends without cutting a request."""

import functools
import threading
import time
from collections.abc import Callable
from concurrent import futures

import attrs
import waitress.server
from absl import logging
from waitress import channel, parser, task, wasyncore

from turmericward import runtime
from turmericward.httpd import _idle, _workers

DRAIN_POLL_S = 0.05
CONNECTION_LIMIT = 4000
IDLE_TIMEOUT_S = 3600.0
HEADER_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 256 * 1024
RECV_BYTES = 65536
LISTEN_BACKLOG = 1024
PROBE_THREADS = 1
RECEIVED = "turmericward.received"


class _Parser(parser.HTTPRequestParser):
    """Notes when a request was read whole; ends channels with unclear framing."""

    received_at = 0.0

    def __init__(self, adj):
        super().__init__(adj)
        self.begun_at = runtime.now()

    def parse_header(self, header_plus):
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            # What follows such a body may be part of it for another reader.
            self.headers["CONNECTION"] = "close"

    def received(self, data):
        consumed = super().received(data)
        if self.completed and not self.received_at:
            self.received_at = runtime.now()
        return consumed


class _Task(task.WSGITask):
    """Ends the connection with the answer while the server drains."""

    def get_environment(self):
        environ = super().get_environment()
        environ[RECEIVED] = self.request.received_at
        return environ

    def build_response_header(self):
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class _Channel(channel.HTTPChannel):
    """A connection; its last activity is told in steady seconds, not by date."""

    task_class = _Task
    parser_class = _Parser
    _active_at = 0.0

    @property
    def last_activity(self):
        return self._active_at

    @last_activity.setter
    def last_activity(self, _):
        self._active_at = runtime.now()

    def silence(self) -> _idle.Silence | None:
        """Returns how long nothing came or went; None with a call in work."""
        if self.requests or self.total_outbufs_len:
            return None
        begun_at = None
        if self.request is not None and not self.request.headers_finished:
            begun_at = self.request.begun_at
        return _idle.Silence(
            connection=self, active_at=self._active_at, begun_at=begun_at
        )


@attrs.frozen(kw_only=True)
class Limits:
    """What a server takes; `balancer_lag_s` is how long a stop stays unnoticed."""

    threads: int
    max_body_bytes: int
    balancer_lag_s: float
    connections: int = CONNECTION_LIMIT


@attrs.frozen(kw_only=True)
class ClientLimits:
    """What a client may send, and how long it may take for it or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Server:
    """A waitress server whose planned stop waits for every request."""

    def __init__(self, app, address: tuple[str, int], limits: Limits) -> None:
        """Binds the listening socket.

        Args:
            app: the WSGI callable.
            address: IP number and port.
            limits: what the server takes and how it stops.
        """
        self._limits = limits
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
        server.channel_class = _Channel
        server.draining = False
        watch = _idle.IdleWatch()
        server.maintenance = functools.partial(self._close_silent, server, watch)
        return server

    def set_client_limits(self, limits: ClientLimits) -> None:
        """Sets what clients may do from now on; called by any thread."""
        self._client_limits = limits
        # Read for each request that begins; the library refuses these sizes too.
        self._server.adj.max_request_header_size = limits.max_header_bytes + 1
        self._server.adj.max_request_body_size = limits.max_body_bytes + 1

    def _close_silent(self, server, watch: _idle.IdleWatch, _) -> None:
        # Called at each turn of the loop, whatever the time of day.
        server.next_channel_cleanup = 0
        now = runtime.now()
        if not watch.is_due(now):
            return
        found = [c.silence() for c in server.active_channels.values()]
        limits = self._client_limits
        silences = [silence for silence in found if silence is not None]
        for conn in watch.look(
            silences, limits.idle_timeout_s, limits.header_timeout_s, now
        ):
            conn.will_close = True

    def add_probe(self, app, address: tuple[str, int]) -> None:
        """Serves short answers on another address, with a thread of their own.

        They are never behind calls, and go on while the server drains.
        """
        self._listen(app, address, PROBE_THREADS)

    def run(self, stop: threading.Event, on_stop: Callable[[], None]) -> None:
        """Serves until `stop` is set and the drain that follows has ended.

        Args:
            stop: begins the drain.
            on_stop: called first then; withdraws readiness.
        """
        with futures.ThreadPoolExecutor(max_workers=1) as executor:
            drained = executor.submit(self._drain_after, stop, on_stop)
            self._server.run()
        drained.result()

    def _drain_after(self, stop: threading.Event, on_stop) -> None:
        stop.wait()
        on_stop()
        self._drain()

    def _drain(self) -> None:
        """Lets the balancer notice, takes no more work, ends when all is done."""
        self._server.draining = True
        time.sleep(self._limits.balancer_lag_s)
        closed = threading.Event()
        self._on_loop(self._close_listener, closed)
        closed.wait()
        while self._busy():
            time.sleep(DRAIN_POLL_S)
        logging.info("drain has ended")
        self._on_loop(self._stop)

    def _on_loop(self, action, done: threading.Event | None = None) -> None:
        def act() -> None:
            action()
            if done is not None:
                done.set()

        self._server.trigger.pull_trigger(act)

    def _close_listener(self) -> None:
        # The server's own method would close its wake-up pipe as well.
        wasyncore.dispatcher.close(self._server)

    def _busy(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(c.requests or c.request or c.total_outbufs_len for c in channels)

    def _stop(self) -> None:
        self._server.task_dispatcher.shutdown()
        self._map.clear()
