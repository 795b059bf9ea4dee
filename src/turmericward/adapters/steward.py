"""Thrift client and server of the steward interface."""

import contextlib
import functools
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent import futures

from absl import logging
from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TSocket, TTransport

from turmericward.adapters import _address, errors
from turmericward.wire import Steward

CONNECT_TIMEOUT_S = 1.0
ACCEPT_POLL_S = 0.2
IDLE_TIMEOUT_S = 120.0
# How long a connection that was just opened may be without its request at a stop.
LAST_REQUEST_WAIT_S = 0.2
# Longer than any call waits, see `turmericward.steward`.
DRAIN_TIMEOUT_S = 8.0
MAX_CONNECTIONS = 256
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_ERRORS = (OSError, Thrift.TException, EOFError)


class StewardClient:
    """One connection to a steward; not thread-safe."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client; `timeout_s` is the timeout of each call."""
        self.address = address
        self._timeout_s = timeout_s
        self._transport: TTransport.TBufferedTransport | None = None
        self._client: Steward.Client | None = None
        self._socket: socket.socket | None = None
        self._aborted = False

    def abort(self) -> None:
        """Ends the call in progress without a response; thread-safe.

        Later calls fail, too.
        """
        self._aborted = True
        sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def __getattr__(self, name: str):
        """Returns the interface method with this name.

        It raises StewardUnavailableError if the connection could not be established
        and StewardNoResponseError if no response was received. Either closes the
        connection: a late response could be mistaken for that of the next call.
        """
        if name.startswith("_"):
            raise AttributeError(name)
        return functools.partial(self._call, name)

    def _call(self, name: str, *args):
        error_class = errors.StewardUnavailableError
        try:
            client = self._connect()
            error_class = errors.StewardNoResponseError
            return getattr(client, name)(*args)
        except _ERRORS as exc:
            self.close()
            msg = f"steward {self.address}: {name}: {exc!r}"
            raise error_class(msg) from exc

    def _connect(self) -> Steward.Client:
        if self._client is None:
            sock = TSocket.TSocket(*_address.split(self.address))
            sock.setTimeout(CONNECT_TIMEOUT_S * 1000)
            transport = TTransport.TBufferedTransport(sock)
            transport.open()
            sock.setTimeout(self._timeout_s * 1000)
            sock.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            protocol = TCompactProtocol.TCompactProtocol(transport)
            self._transport = transport
            self._socket = sock.handle
            self._client = Steward.Client(protocol)
        if self._aborted:
            raise ConnectionAbortedError("the call was aborted by its caller")
        return self._client

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._transport is not None:
            self._transport.close()
        self._socket = None
        self._transport = None
        self._client = None


@contextlib.contextmanager
def open_client(address: str, timeout_s: float) -> Iterator[StewardClient]:
    """Yields a client that is closed on exit."""
    client = StewardClient(address, timeout_s)
    try:
        yield client
    finally:
        client.close()


def call_first_available(
    addresses: list[str],
    timeout_s: float,
    name: str,
    req,
    is_unavailable: Callable[[object], bool],
):
    """Calls a method on the first of several stewards that can take the request.

    A request that may have been taken is not sent to another steward.

    Args:
        addresses: stewards in order of preference.
        timeout_s: timeout of each call.
        name: name of the method.
        req: its argument.
        is_unavailable: whether an answer says that the steward did nothing.

    Returns:
        The answer. It is one of an unavailable steward if there are only such.

    Raises:
        StewardNoResponseError: a steward may have received it, but did not respond.
        StewardUnavailableError: no steward could be reached.
    """
    answer = None
    for address in addresses:
        try:
            with open_client(address, timeout_s) as client:
                answer = getattr(client, name)(req)
        except errors.StewardNoResponseError:
            raise
        except errors.StewardUnavailableError as exc:
            logging.warning("%s", exc)
            continue
        if not is_unavailable(answer):
            return answer
    if answer is None:
        raise errors.StewardUnavailableError(f"{name}: no steward could be reached")
    return answer


class StewardServer:
    """Serves the interface with one executor thread for each connection.

    At a stop, connections that were made before it are accepted and each may still
    bring a request. All calls in progress are answered before `run` returns, unless
    that takes longer than DRAIN_TIMEOUT_S.
    """

    def __init__(self, address: str, handler) -> None:
        """Binds the listening socket.

        Args:
            address: `ip:port` to listen on.
            handler: object that implements the interface.
        """
        self._processor = Steward.Processor(handler)
        self._stopping = threading.Event()
        self._conns: dict[socket.socket, futures.Future] = {}
        self._executor = futures.ThreadPoolExecutor(
            max_workers=MAX_CONNECTIONS, thread_name_prefix="steward-conn"
        )
        self._listener = socket.create_server(
            _address.split(address), backlog=128, reuse_port=False
        )
        self._listener.settimeout(ACCEPT_POLL_S)

    def run(self) -> None:
        """Serves until `stop` is called, then answers the calls in progress."""
        while not self._stopping.is_set():
            with contextlib.suppress(TimeoutError):
                self._accept()
        self._listener.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                self._accept()
        self._listener.close()
        futures.wait(self._conns.values(), DRAIN_TIMEOUT_S)
        self._close_connections()
        self._executor.shutdown(wait=False)

    def stop(self) -> None:
        """Makes `run` return once the calls in progress are answered."""
        self._stopping.set()

    def _accept(self) -> None:
        conn, _ = self._listener.accept()
        self._conns = {c: fut for c, fut in self._conns.items() if not fut.done()}
        self._conns[conn] = self._executor.submit(self._serve, conn)

    def _close_connections(self) -> None:
        for conn, fut in self._conns.items():
            if not fut.done():
                logging.warning("a steward call in progress is cut by the stop")
                with contextlib.suppress(OSError):
                    conn.shutdown(socket.SHUT_RDWR)

    def _serve(self, conn: socket.socket) -> None:
        try:
            self._process_requests(conn)
        except _ERRORS as exc:
            logging.debug("steward connection ended: %r", exc)
        except Exception:
            logging.exception("steward connection failed")
        finally:
            conn.close()

    def _process_requests(self, conn: socket.socket) -> None:
        conn.setblocking(True)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock = TSocket.TSocket()
        sock.setHandle(conn)
        sock.setTimeout(IDLE_TIMEOUT_S * 1000)
        transport = TTransport.TBufferedTransport(sock)
        protocol = TCompactProtocol.TCompactProtocol(
            transport, string_length_limit=MAX_MESSAGE_BYTES
        )
        last = False
        while not last:
            last = self._stopping.is_set()
            if not self._await_request(conn):
                return
            self._processor.process(protocol, protocol)

    def _await_request(self, conn: socket.socket) -> bool:
        """Waits for the next request; returns False if there is none."""
        poll = select.poll()
        poll.register(conn, select.POLLIN)
        idle_until = time.monotonic() + IDLE_TIMEOUT_S
        while not self._stopping.is_set():
            if poll.poll(ACCEPT_POLL_S * 1000):
                return True
            if time.monotonic() > idle_until:
                return False
        return bool(poll.poll(LAST_REQUEST_WAIT_S * 1000))
