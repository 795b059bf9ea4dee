"""HTTP server that ends without cutting a request."""

import threading
import time

import waitress.server
from absl import logging
from waitress import channel, task, wasyncore

DRAIN_POLL_S = 0.05
CONNECTION_LIMIT = 4000
CHANNEL_TIMEOUT_S = 3600
RECV_BYTES = 65536


class _Task(task.WSGITask):
    """Ends the connection with the answer while the server drains."""

    def build_response_header(self):
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class _Channel(channel.HTTPChannel):
    task_class = _Task


class Server:
    """A waitress server whose planned stop waits for every request."""

    def __init__(self, app, address: tuple[str, int], cfg) -> None:
        """Binds the listening socket.

        Args:
            app: the WSGI callable.
            address: IP number and port.
            cfg: settings of the entry.
        """
        host, port = address
        self._balancer_lag_s = cfg.balancer_lag_s
        self._server = waitress.server.create_server(
            app,
            map={},
            host=host,
            port=port,
            threads=cfg.threads,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=CHANNEL_TIMEOUT_S,
            max_request_body_size=cfg.max_body_bytes,
            recv_bytes=RECV_BYTES,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._server.channel_class = _Channel
        self._server.draining = False

    def run(self) -> None:
        """Serves until the drain has ended; called by the main thread."""
        self._server.run()

    def drain(self) -> None:
        """Lets the balancer notice, takes no more work, ends when all is done.

        Called by a thread of its own, after readiness has been withdrawn.
        """
        self._server.draining = True
        time.sleep(self._balancer_lag_s)
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
        self._server._map.clear()
