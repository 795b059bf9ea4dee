"""JSON requests over one `http.client` connection."""

import json

import attrs

from turmericward.adapters import _kept_connection

ERRORS = _kept_connection.ERRORS


@attrs.frozen(kw_only=True)
class JsonAnswer:
    """Status and decoded body of an answer."""

    status: int
    body: object


class JsonClient:
    """Sends JSON requests to one address; not for use by several threads."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client, not yet connected."""
        self._conn = _kept_connection.KeptConnection(address, timeout_s)

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
        data = None if body is None else json.dumps(body).encode()
        headers = (("Content-Type", "application/json"),) if data else ()
        status, raw = self._conn.exchange(method, path, data, headers, extra_s)
        try:
            return JsonAnswer(status=status, body=json.loads(raw or b"null"))
        except ValueError:
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection, if one is open."""
        self._conn.close()
