"""JSON requests over a persistent HTTP connection."""

import http.client
import json

import attrs

from turmericward import schema
from turmericward.adapters import _persistent_connection

ERRORS = _persistent_connection.ERRORS
MAX_BODY_BYTES = _persistent_connection.MAX_BODY_BYTES


@attrs.frozen(kw_only=True)
class JsonResponse:
    """Status, decoded JSON body and headers of a response."""

    status: int
    body: object
    headers: http.client.HTTPMessage


class JsonClient:
    """Sends JSON requests to one address; not thread-safe."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client; it connects on the first request."""
        self._conn = _persistent_connection.PersistentConnection(address, timeout_s)

    def request(
        self, method: str, path: str, body: object = None, extra_timeout_s: float = 0.0
    ) -> JsonResponse:
        """Sends one request and reads the complete response.

        Args:
            method: HTTP method.
            path: path with query.
            body: value to send as JSON, or None.
            extra_timeout_s: seconds added to the timeout of this request.

        Raises:
            OSError: the connection failed.
            http.client.HTTPException: the response is not valid HTTP.
            ValueError: the response is not valid JSON.
        """
        data = None if body is None else json.dumps(body).encode()
        headers = (("Content-Type", "application/json"),) if data else ()
        resp = self._conn.exchange(method, path, data, headers, extra_timeout_s)
        try:
            return JsonResponse(
                status=resp.status,
                body=schema.loads(
                    resp.body or b"null", "response", max_bytes=MAX_BODY_BYTES
                ),
                headers=resp.headers,
            )
        except schema.SchemaError:
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection, if one is open."""
        self._conn.close()
