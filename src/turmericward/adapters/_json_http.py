"""JSON requests over one `http.client` connection."""

import http.client
import json

import attrs

from turmericward.adapters import _address


@attrs.frozen(kw_only=True)
class JsonAnswer:
    """Status and decoded body of an answer."""

    status: int
    body: object


class JsonClient:
    """Sends JSON requests to one address; not for use by several threads.

    A connection on which anything failed is closed, never used again.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client, not yet connected."""
        self._address = address
        self._timeout_s = timeout_s
        self._conn: http.client.HTTPConnection | None = None

    def request(
        self, method: str, path: str, body: object = None, extra_s: float = 0.0
    ) -> JsonAnswer:
        """Sends one request and reads the whole answer.

        Args:
            method: HTTP method.
            path: path with query.
            body: what to send as JSON, or None.
            extra_s: seconds by which the answer may come later than usual.

        Raises:
            OSError: the connection failed.
            http.client.HTTPException: the answer isn't HTTP.
            ValueError: the answer isn't JSON.
        """
        conn = self._connect(self._timeout_s + extra_s)
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"} if data else {}
        try:
            conn.request(method, path, body=data, headers=headers)
            resp = conn.getresponse()
            raw = resp.read()
            answer = JsonAnswer(status=resp.status, body=json.loads(raw or b"null"))
        except BaseException:
            self.close()
            raise
        if resp.will_close:
            self.close()
        return answer

    def _connect(self, timeout_s: float) -> http.client.HTTPConnection:
        if self._conn is None:
            host, port = _address.split(self._address)
            conn = http.client.HTTPConnection(host, port, timeout=timeout_s)
            # A reconnect on the library's own account could repeat a request.
            conn.auto_open = 0
            conn.connect()
            self._conn = conn
        self._conn.sock.settimeout(timeout_s)
        return self._conn

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


ERRORS = (OSError, http.client.HTTPException, ValueError)
