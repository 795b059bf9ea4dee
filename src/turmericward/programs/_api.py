"""Client of the resource API for the command line."""

import http.client
import json
import pathlib
from collections.abc import Iterator

import attrs

from turmericward import schema
from turmericward.adapters import _address

TIMEOUT_S = 15.0
WATCH_TIMEOUT_S = 60.0


class ApiError(Exception):
    """Raised when the API refused a request or could not be reached.

    `status` is the HTTP status, or 0 without a response.
    """

    def __init__(self, status: int, detail: str) -> None:
        """Creates the error with the response's status."""
        super().__init__(detail)
        self.status = status


@attrs.frozen(kw_only=True)
class Api:
    """Client of the API at one address, with the operator's key."""

    host: str
    port: int
    key: str = attrs.field(repr=False)

    @classmethod
    def create(cls, address: str, key: str, key_file: str | None) -> "Api":
        """Builds the client from command-line options."""
        host, port = _address.split(address)
        if key_file:
            key = pathlib.Path(key_file).read_text(encoding="utf-8").strip()
        return cls(host=host, port=port, key=key)

    def request(self, method: str, path: str, body=None, headers=None) -> dict:
        """Sends one request and returns the decoded response body.

        Raises:
            ApiError: the request failed, or there was no valid response.
        """
        conn, resp = self._open(method, path, body, headers, TIMEOUT_S)
        try:
            value = schema.loads(resp.read() or b"null", "response")
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise ApiError(0, f"answer is unreadable: {exc}") from exc
        finally:
            conn.close()
        self._check(resp.status, value)
        return value

    def lines(self, path: str) -> Iterator[dict]:
        """Yields the decoded lines of a watch until the server ends it.

        Raises:
            ApiError: the watch was refused or the connection failed.
        """
        conn, resp = self._open("GET", path, None, None, WATCH_TIMEOUT_S)
        try:
            if resp.status != 200:
                self._check(resp.status, schema.loads(resp.read(), "response"))
            while line := resp.readline():
                yield schema.loads(line, "line")
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise ApiError(0, f"watch broke off: {exc}") from exc
        finally:
            conn.close()

    def _open(self, method, path, body, headers, timeout_s):
        conn = http.client.HTTPConnection(self.host, self.port, timeout=timeout_s)
        data = None if body is None else json.dumps(body).encode()
        sent = {"Authorization": f"Bearer {self.key}"} | (headers or {})
        try:
            conn.request(method, path, body=data, headers=sent)
            return conn, conn.getresponse()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            raise ApiError(0, f"{self.host}:{self.port}: {exc}") from exc

    def _check(self, status: int, value: object) -> None:
        if status < 300:
            return
        detail = value.get("detail") if isinstance(value, dict) else None
        raise ApiError(status, detail or f"answer has status {status}")
