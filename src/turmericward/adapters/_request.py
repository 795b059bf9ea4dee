"""HTTP requests to a target, each sent at most once on its own connection."""

import contextlib
import functools
import http.client
import select
import socket
from collections.abc import Callable, Iterable, Iterator

import attrs

from turmericward import runtime
from turmericward.adapters import (
    _address,
    _body_memory,
    _connection,
    _guard,
    _response,
    errors,
)
from turmericward.authority import Authority

CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
# A timeout of 0 would make the socket non-blocking.
MIN_CONNECT_TIMEOUT_S = 0.001
# Bounds memory if a faulty target sends an endless body.
MAX_BODY_BYTES = 8 * 1024 * 1024
PIECE_BYTES = 256 * 1024
# A body up to this size is sent with the headers: the system buffers both.
BUFFERED_BYTES = 4096
# How long a listener that is being closed takes to reset a new connection.
LISTENER_CLOSE_S = 0.01
MAX_LISTENER_CHECKS = 3
# Between checks while a target doesn't read.
CHECK_S = 0.2
REQUEST_ID = "X-Request-Id"


@attrs.frozen(kw_only=True)
class Request:
    """An HTTP request; `headers` are ordered name-value pairs."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def answer_lost(address: str, exc: Exception) -> errors.AnswerLostError:
    """Returns the error for an exception raised after the request was sent."""
    closed = isinstance(exc, ConnectionError | http.client.IncompleteRead)
    error = errors.ConnectionLostError if closed else errors.AnswerLostError
    return error(f"{address}: {exc!r}")


def refuses_connections(address: str, timeout_s: float) -> bool:
    """Returns whether nothing listens at an address any more.

    A process that ends may close other connections before its listener, which resets
    the connections that it still takes.
    """
    host, port = _address.split(address)
    for _ in range(MAX_LISTENER_CHECKS):
        try:
            with socket.create_connection((host, port), timeout_s) as sock:
                if not _is_closed_at_once(sock):
                    return False
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False


def _is_closed_at_once(sock: socket.socket) -> bool:
    sock.settimeout(LISTENER_CLOSE_S)
    try:
        return not sock.recv(1)
    except TimeoutError:
        return False
    except OSError:
        return True


def connect(
    address: str,
    timeout_s: float,
    *,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    guard: _guard.Guard | None = None,
) -> _connection.HTTPConnection:
    """Opens a connection that does not reconnect automatically.

    Args:
        address: the target's address.
        timeout_s: bounds the writing of a request.
        connect_timeout_s: bounds the connecting.
        guard: bounds the reading of the response, by `timeout_s` if None.

    Raises:
        ConnectTimeoutError: the target was silent.
        NotSentError: the connection could not be established.
    """
    try:
        host, port = _address.split(address)
    except ValueError as exc:
        raise errors.NotSentError(f"{address}: {exc}") from exc
    wait_s = max(MIN_CONNECT_TIMEOUT_S, min(timeout_s, connect_timeout_s))
    conn = _connection.HTTPConnection(host, port, timeout=wait_s)
    guard = guard or _guard.Guard(runtime.now() + timeout_s)
    conn.response_class = functools.partial(_response.GuardedResponse, guard=guard)
    try:
        conn.connect()
    except TimeoutError as exc:
        raise errors.ConnectTimeoutError(f"{address}: {exc!r}") from exc
    # Text that is no address raises errors of several types.
    except Exception as exc:
        raise errors.NotSentError(f"{address}: {exc!r}") from exc
    conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.sock.settimeout(max(MIN_CONNECT_TIMEOUT_S, timeout_s))
    return conn


def put_head(conn: http.client.HTTPConnection, req: Request) -> None:
    """Buffers the request line and headers without sending them."""
    header_names = {name.lower() for name, _ in req.headers}
    conn.putrequest(
        req.method,
        req.path,
        skip_host="host" in header_names,
        skip_accept_encoding=True,
    )
    for name, value in req.headers:
        conn.putheader(name, value)
    if req.body or req.method in ("POST", "PUT", "PATCH"):
        conn.putheader("Content-Length", str(len(req.body)))


def send(
    conn: http.client.HTTPConnection,
    address: str,
    req: Request,
    check: Callable[[], None] | None = None,
) -> None:
    """Sends the complete request once.

    Args:
        conn: an open connection to the target; its timeout bounds the writing of the
            request, that of each piece of the body if there is a `check`.
        address: the target's address, for error messages.
        req: the request.
        check: called while the body is written, every `CHECK_S` at least; what it
            raises ends the writing.

    Raises:
        NotSentError: the request line or a header is invalid.
        AnswerLostError: the connection failed after bytes may have been sent.
    """
    try:
        put_head(conn, req)
    except (ValueError, http.client.HTTPException) as exc:
        raise errors.NotSentError(f"{address}: {exc}") from exc
    try:
        if check is None or len(req.body) <= BUFFERED_BYTES:
            conn.endheaders(req.body or None)
            return
        conn.endheaders()
        view = memoryview(req.body)
        for start in range(0, len(view), PIECE_BYTES):
            _write_piece(conn.sock, view[start : start + PIECE_BYTES], check)
    except OSError as exc:
        raise answer_lost(address, exc) from exc


def _write_piece(
    sock: socket.socket, piece: memoryview, check: Callable[[], None]
) -> None:
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    until = runtime.now() + sock.gettimeout()
    while piece:
        check()
        remaining_s = until - runtime.now()
        if poll.poll(max(0.0, min(CHECK_S, remaining_s)) * 1000):
            piece = piece[sock.send(piece) :]
        elif remaining_s <= 0:
            raise TimeoutError("target doesn't read the request")


def send_within_term(
    conn: http.client.HTTPConnection,
    address: str,
    req: Request,
    authority: Authority,
    need_s: float,
    clock: Callable[[], float],
) -> None:
    """Sends an order whose last byte is sent only while the authority is valid.

    TCP_USER_TIMEOUT is set to the remaining term, so that the kernel does not
    retransmit the order after the term has ended.

    Args:
        conn: an open connection to the target.
        address: the target's address, for error messages.
        req: the order.
        authority: the permission to send orders, with the end of its term.
        need_s: time that must remain of the term when the last byte is sent.
        clock: the clock on which the term is measured.

    Raises:
        AuthorityLapsedError: the order was not sent completely.
        AnswerLostError: the connection failed after all bytes may have been sent.
    """
    try:
        put_head(conn, req)
        conn.endheaders(req.body[:-1])
        remaining_s = authority.until - clock()
        if not authority.allows(clock(), need_s):
            raise errors.AuthorityLapsedError(f"{remaining_s:.3f} s of the term remain")
        user_timeout_ms = max(1, int(remaining_s * 1000))
        conn.sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms)
        conn.send(req.body[-1:])
    except OSError as exc:
        raise errors.AnswerLostError(f"{address}: {exc!r}") from exc


def read_response_head(
    conn: http.client.HTTPConnection, address: str
) -> http.client.HTTPResponse:
    """Reads the status line and the headers.

    Raises:
        AnswerLostError: they were not received completely.
    """
    try:
        return conn.getresponse()
    except (OSError, http.client.HTTPException) as exc:
        raise answer_lost(address, exc) from exc


def join_body(
    chunks: Iterable[bytes],
    name: str = "response",
    max_bytes: int = MAX_BODY_BYTES,
    memory: _body_memory.BodyMemory = _body_memory.shared,
) -> bytes:
    """Concatenates the chunks of a body.

    Args:
        chunks: the body as it is received.
        name: name of the body in error messages.
        max_bytes: the longest body.
        memory: bounds it together with others.

    Raises:
        AnswerLostError: the body is too long, or all bodies together are.
    """
    received, size = [], 0
    with memory.reservation() as reservation:
        for chunk in chunks:
            size += len(chunk)
            if size > max_bytes:
                raise errors.AnswerLostError(f"{name} is longer than {max_bytes} bytes")
            reservation.grow_to(size)
            received.append(chunk)
        return b"".join(received)


def read_whole(
    conn: http.client.HTTPConnection,
    resp: http.client.HTTPResponse,
    address: str,
    deadline: float,
    max_bytes: int = MAX_BODY_BYTES,
) -> bytes:
    """Reads the body to its declared end.

    Args:
        conn: the connection.
        resp: its response.
        address: the target's address, for error messages.
        deadline: the end of the body, on the clock of `runtime.now`.
        max_bytes: the longest body.

    Raises:
        AnswerLostError: the body is truncated, too long, or not complete by
            `deadline`.
    """
    chunks = _read_chunks(conn, resp, address, deadline)
    with contextlib.closing(resp):
        return join_body(chunks, f"{address}: response", max_bytes)


def read_answer(
    conn: http.client.HTTPConnection,
    resp: _response.GuardedResponse,
    address: str,
    deadline: float,
) -> bytes:
    """Reads the body of an answer for a client; see `read_whole`.

    The connections of a process that is killed end in order, so that an unframed body
    is believed only if its target still listens.

    Raises:
        ConnectionLostError: the target has ended with its answer.
        AnswerLostError: as for `read_whole`.
    """
    with contextlib.closing(resp):
        body = join_body(
            _read_chunks(conn, resp, address, deadline), f"{address}: response"
        )
        if resp.unframed and (
            refuses_connections(address, CONNECT_TIMEOUT_S) or not resp.ended_in_order()
        ):
            raise errors.ConnectionLostError(f"{address}: answer was cut off")
        return body


def _read_chunks(conn, resp, address: str, deadline: float) -> Iterator[bytes]:
    try:
        while True:
            remaining_s = deadline - runtime.now()
            if remaining_s <= 0:
                raise TimeoutError("deadline reached")
            if conn.sock is not None:
                conn.sock.settimeout(remaining_s)
            chunk = resp.read1(65536)
            if not chunk:
                break
            yield chunk
        if resp.length:
            raise http.client.IncompleteRead(b"", resp.length)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise errors.AnswerLostError(f"{address}: {exc!r}") from exc


def check_request_id(
    resp: http.client.HTTPResponse, request_id: str, *, required: bool = True
) -> None:
    """Checks that the response belongs to the request.

    Raises:
        ForeignAnswerError: its request id differs, or is missing but `required`.
    """
    response_id = resp.getheader(REQUEST_ID)
    if response_id == request_id or (response_id is None and not required):
        return
    raise errors.ForeignAnswerError(f"response to {response_id!r} for {request_id!r}")


@contextlib.contextmanager
def closing(conn: http.client.HTTPConnection):
    """Closes the connection on exit, also after an exception."""
    try:
        yield conn
    finally:
        conn.close()
