"""Persistent HTTP connection to one address."""

import contextlib
import functools
import http.client
import select
import socket
from collections.abc import Iterator

import attrs

from turmericward import runtime
from turmericward.adapters import (
    _address,
    _body_memory,
    _connection,
    _guard,
    _request,
    _response,
    errors,
)

# A request with one of these may be sent twice.
SAFE_METHODS = frozenset({"GET", "HEAD"})
ERRORS = (OSError, http.client.HTTPException, ValueError, errors.AnswerLostError)
MAX_BODY_BYTES = 64 * 1024 * 1024
# A body may take longer than a response without bytes, but not for ever.
MAX_BODY_S = 30.0
READ_BYTES = 65536


@attrs.frozen(kw_only=True)
class Response:
    """A complete response."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


class PersistentConnection:
    """Sends requests to one address; not thread-safe.

    The connection is closed after any failure and not reused. A server may close a
    kept connection just as a request is sent on it: one that only reads is then
    repeated on a new connection. Any other may have taken effect and is not.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float,
        connect_timeout_s: float | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Creates the client; it connects on the first request.

        Args:
            address: `ip:port`.
            timeout_s: timeout of the head of a response, and of each part of its body.
            connect_timeout_s: connect timeout, or None to use that of the request.
            max_body_bytes: the longest body of a response.
        """
        self._max_body_bytes = max_body_bytes
        # One body at a time; those of targets don't count here.
        self._memory = _body_memory.BodyMemory(max_body_bytes)
        self._address = address
        self._timeout_s = timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._conn: http.client.HTTPConnection | None = None
        self._aborted = False

    def abort(self) -> None:
        """Aborts the pending request and rejects later ones; thread-safe."""
        self._aborted = True
        conn = self._conn
        if conn is not None and conn.sock is not None:
            with contextlib.suppress(OSError):
                conn.sock.shutdown(socket.SHUT_RDWR)

    def set_address(self, address: str, timeout_s: float) -> None:
        """Sets the address and timeout of the next connection; thread-safe."""
        self._address = address
        self._timeout_s = timeout_s

    def exchange(
        self,
        method: str,
        path: str,
        body=None,
        headers=(),
        extra_timeout_s: float = 0.0,
    ) -> Response:
        """Sends one request and returns the complete response.

        Args:
            method: HTTP method.
            path: path with query.
            body: bytes to send, or None.
            headers: header fields as pairs.
            extra_timeout_s: seconds added to the timeout of this request.

        Raises:
            OSError: the connection failed.
            http.client.HTTPException: the response is not valid HTTP.
            AnswerLostError: its body is too long.
        """
        self._close_if_readable()
        kept = self._conn is not None
        timeout_s = self._timeout_s + extra_timeout_s
        try:
            return self._exchange_once(method, path, body, headers, timeout_s)
        except ConnectionError:
            if not kept or method not in SAFE_METHODS or self._aborted:
                raise
        return self._exchange_once(method, path, body, headers, timeout_s)

    def _exchange_once(self, method, path, body, headers, timeout_s) -> Response:
        conn = self._open(timeout_s)
        try:
            guard = _guard.Guard(runtime.now() + timeout_s)
            conn.response_class = functools.partial(
                _response.GuardedResponse, guard=guard
            )
            conn.request(method, path, body, dict(headers))
            resp = conn.getresponse()
            raw = _request.join_body(
                _parts(resp, guard, timeout_s),
                self._address,
                self._max_body_bytes,
                self._memory,
            )
        except BaseException as exc:
            self.close()
            if isinstance(exc, Exception) and not isinstance(exc, ERRORS):
                # The response is foreign: whatever fails is a fault of it.
                raise http.client.HTTPException(repr(exc)) from exc
            raise
        if resp.will_close:
            self.close()
        return Response(status=resp.status, headers=resp.headers, body=raw)

    def _close_if_readable(self) -> None:
        """Closes a connection with bytes that no request has asked for, or at its end.

        They would be taken for the next response.
        """
        if self._conn is None or self._conn.sock is None:
            return
        poll = select.poll()
        poll.register(self._conn.sock, select.POLLIN)
        if poll.poll(0):
            self.close()

    def _open(self, timeout_s: float) -> http.client.HTTPConnection:
        if self._conn is None:
            host, port = _address.split(self._address)
            wait_s = (
                timeout_s
                if self._connect_timeout_s is None
                else self._connect_timeout_s
            )
            conn = _connection.HTTPConnection(host, port, timeout=wait_s)
            conn.connect()
            self._conn = conn
        if self._aborted:
            raise ConnectionAbortedError("the connection was aborted by its owner")
        self._conn.sock.settimeout(timeout_s)
        return self._conn

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


def _parts(resp, guard: _guard.Guard, timeout_s: float) -> Iterator[bytes]:
    deadline = runtime.now() + MAX_BODY_S
    guard.wait_until(min(deadline, runtime.now() + timeout_s))
    while part := resp.read1(READ_BYTES):
        yield part
        guard.wait_until(min(deadline, runtime.now() + timeout_s))
    if resp.length:
        raise http.client.IncompleteRead(b"", resp.length)
    # Frees the connection for the next request.
    resp.close()
