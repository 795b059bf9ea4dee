"""HTTP server with limits on clients and a bounded, planned stop."""

import functools
import math
import threading
from collections.abc import Callable
from concurrent import futures

import attrs
import waitress.server
from waitress import trigger, wasyncore

from turmericward import memory, runtime
from turmericward.httpd import (
    _channel,
    _gate,
    _heads,
    _idle,
    _room,
    _shutdown,
    _stopping,
    _waiting,
    _workers,
)

CONNECTION_LIMIT = 4000
IDLE_TIMEOUT_S = 3600.0
HEADER_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
PROBE_THREADS = 1
# Connections of all probes, which are accepted beside the others.
PROBE_CONNECTIONS = 64
# waitress accepts one connection in a turn of the event loop: behind a thousand others,
# a call would wait for a thousand turns.
ACCEPTS_PER_TURN = 32
# How often it is noted that no signal to stop has come.
SIGNAL_POLL_S = 0.1
# A stream whose client reads more slowly than its target writes waits above this.
MAX_UNSENT_BYTES = 256 * 1024


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of a server.

    `queue_s` is how long a request may wait for a thread; `id_header` names the header
    by which the log of a stop names requests. `account` bounds the memory held for
    clients; without one it isn't bounded.
    """

    threads: int
    max_body_bytes: int
    connections: int = CONNECTION_LIMIT
    queue_s: float = math.inf
    id_header: str = ""
    account: memory.Account | None = None


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
            limits: limits of the server.
            drain: time bounds of the shutdown; unbounded if None.
        """
        self._limits = limits
        self._drain = drain or runtime.Drain(math.inf)
        self._map: dict = {}
        self._client_limits = ClientLimits(
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self._servers: list = []
        self._monitor = _idle.IdleMonitor()
        self._room = _room.Room(limits.connections)
        self._server = self._listen(app, address, limits.threads)
        self._refuser = _waiting.Refuser(
            self._server.task_dispatcher, limits.queue_s, self._drain
        )
        self._stopper = _stopping.Stopper(self._server, self._drain)

    def _listen(self, app, address: tuple[str, int], threads: int):
        host, port = address
        # Probes have no part in the limits.
        main = not self._servers
        server = waitress.server.create_server(
            app,
            map=self._map,
            host=host,
            port=port,
            threads=threads,
            _dispatcher=_workers.GrowingDispatcher(threads),
            backlog=LISTEN_BACKLOG,
            connection_limit=self._limits.connections
            + (0 if main else PROBE_CONNECTIONS),
            max_request_header_size=self._client_limits.max_header_bytes,
            max_request_body_size=self._client_limits.max_body_bytes,
            recv_bytes=_gate.RECV_BYTES,
            channel_request_lookahead=1,
            outbuf_high_watermark=MAX_UNSENT_BYTES,
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        server.channel_class = _channel.Channel
        server.handle_accept = functools.partial(_accept, server, server.handle_accept)
        account = (self._limits.account if main else None) or memory.Account()
        server.gate = _gate.Gate(account)
        server.lingering = set()
        # As the parser writes names.
        server.id_header = self._limits.id_header.upper().replace("-", "_")
        # Never begins; replaced by the stopper of the main server.
        server.shutdown = _shutdown.Shutdown(runtime.Drain(math.inf))
        # `_close_expired` does this by the monotonic clock.
        server.maintenance = lambda now: None
        self._servers.append(server)
        return server

    def set_client_limits(self, limits: ClientLimits) -> None:
        """Sets the limits for later requests; may be called from any thread."""
        self._client_limits = limits
        # Read by waitress for each new request; it also rejects a size equal to the
        # maximum.
        self._server.adj.max_request_header_size = limits.max_header_bytes + 1
        self._server.adj.max_request_body_size = limits.max_body_bytes + 1

    def set_head_check(self, check: _heads.HeadCheck) -> None:
        """Sets what refuses requests before their bodies are read; call before `run`.

        It is called for chunked and for long bodies. Error responses close the
        connection.
        """
        # Read by the parser of each request.
        self._server.adj.check_head = check

    def _close_expired(self) -> None:
        now = runtime.now()
        if not self._monitor.is_due(now):
            return
        limits = self._client_limits
        states = [
            c.idle_state() for s in self._servers for c in s.active_channels.values()
        ]
        for conn in self._monitor.find_expired(
            [idle_state for idle_state in states if idle_state is not None],
            limits.idle_timeout_s,
            limits.header_timeout_s,
            now,
        ):
            conn.close_idle()
        for server in self._servers:
            for lingering in list(server.lingering):
                lingering.close_expired(now)

    def add_probe(self, app, address: tuple[str, int]) -> None:
        """Serves a probe application on another address with its own thread.

        It is not delayed by other requests and continues until the stop is over.
        """
        self._listen(app, address, PROBE_THREADS)

    def run(self, stop: threading.Event, on_stop: Callable[[], None]) -> None:
        """Serves until `stop` is set and the stop is over.

        Args:
            stop: begins the stop.
            on_stop: called at its begin, to report the server as not ready.
        """
        with futures.ThreadPoolExecutor(max_workers=1) as executor:
            begun = executor.submit(self._begin_after, stop, on_stop)
            try:
                while not self._stopper.step():
                    self._turn()
            finally:
                stop.set()
                self._release()
        begun.result()

    def _turn(self) -> None:
        gates = [server.gate for server in self._servers]
        for gate in gates:
            gate.begin_turn()
        step_s = min(
            self._stopper.step_s,
            self._refuser.step_s,
            self._room.step_s,
            *(g.step_s for g in gates),
        )
        wasyncore.poll2(step_s, self._map)
        self._close_expired()
        self._make_room()
        self._refuser.step()
        for gate in gates:
            gate.step()

    def _make_room(self) -> None:
        now = runtime.now()
        missing = self._room.missing(len(self._map))
        if missing:
            lingering = [conn for server in self._servers for conn in server.lingering]
            missing -= _room.close_oldest(lingering, missing)
        if missing > 0 and self._room.is_scan_due(now):
            self._close_idle(missing, now)
        self._room.observe(len(self._map), now)

    def _close_idle(self, missing: int, now: float) -> None:
        channels = list(self._server.active_channels.values())
        # Those that end anyway.
        missing -= sum(channel.close_when_flushed for channel in channels)
        gate = self._server.gate
        states = [c.idle_state() for c in channels if not gate.is_waiting(c)]
        _room.close_idle(filter(None, states), missing, now)

    @property
    def is_full(self) -> bool:
        """Whether all connections have been in use for some time."""
        return self._room.is_full(runtime.now())

    def _begin_after(self, stop: threading.Event, on_stop) -> None:
        earlier = latest = runtime.now()
        while not stop.wait(SIGNAL_POLL_S):
            # After a pause the signal may not have been handled yet.
            earlier, latest = latest, runtime.now()
        self._drain.begin(earlier)
        try:
            on_stop()
        finally:
            self._server.pull_trigger()

    def _release(self) -> None:
        """Lets idle workers end and closes the probes."""
        self._refuser.close()
        for server in self._servers:
            server.task_dispatcher.set_thread_count(0)
        for conn in list(self._map.values()):
            # Leaves the pipes that wake the loop open: workers may still write to them.
            if not isinstance(conn, trigger.trigger):
                wasyncore.dispatcher.close(conn)
        self._map.clear()


def _accept(server, accept_one: Callable[[], None]) -> None:
    """Accepts the connections that wait, one of them also above the limit.

    The limit is checked before by the event loop, and not at the end of a stop.
    """
    for _ in range(ACCEPTS_PER_TURN):
        count = len(server.active_channels)
        accept_one()
        if (
            len(server.active_channels) == count
            or len(server._map) >= server.adj.connection_limit
        ):
            return
