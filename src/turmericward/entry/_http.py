"""Requests and responses of the entry, independent of WSGI, and error bodies."""

import http
import json
import math
import urllib.parse
from collections.abc import Callable, Iterable

import attrs

from turmericward import schema
from turmericward.entry import _errors

JSON = "application/json"
PROBLEM_JSON = "application/problem+json"


@attrs.define
class LogFields:
    """Fields of the access log that are set while a request is handled."""

    tenant: str = ""
    traffic_class: str = ""
    engine: str = ""


@attrs.frozen(kw_only=True)
class Request:
    """A client request; header names are in lower case."""

    id: str
    method: str
    path: str
    query: dict[str, str]
    raw_query: str
    headers: dict[str, str]
    body: bytes
    disconnected: Callable[[], bool] = lambda: False
    log_fields: LogFields = attrs.field(factory=LogFields)

    def json(self) -> object:
        """Decodes the body as JSON.

        Raises:
            RequestError: the body is not valid JSON.
        """
        try:
            # The server has limited the length.
            return schema.loads(self.body, "body", max_bytes=len(self.body))
        except schema.SchemaError as exc:
            msg = f"body is not JSON that can be used: {exc}"
            raise _errors.RequestError(400, "invalid_json", msg) from exc


@attrs.define(kw_only=True)
class Response:
    """A response; a `body` that is an iterable is streamed without a length."""

    status: int
    content_type: str = JSON
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes | Iterable[bytes] = b""

    def status_line(self) -> str:
        """Returns the status code with its reason phrase."""
        try:
            phrase = http.HTTPStatus(self.status).phrase
        except ValueError:
            phrase = "Status"
        return f"{self.status} {phrase}"


def json_response(status: int, value: object, headers=()) -> Response:
    """Returns a response with a JSON body."""
    body = json.dumps(value).encode() + b"\n"
    return Response(status=status, headers=list(headers), body=body)


def _retry_headers(exc: _errors.RequestError) -> list[tuple[str, str]]:
    if exc.retry_after_s is None:
        return []
    return [("Retry-After", str(max(1, math.ceil(exc.retry_after_s))))]


def openai_error(exc: _errors.RequestError) -> Response:
    """Returns an error response in the format of the OpenAI API."""
    kind = "invalid_request_error" if exc.status < 429 else "server_error"
    error = {
        "message": exc.detail,
        "type": kind,
        "param": None,
        "code": exc.code,
        "outcome": exc.outcome.value,
    }
    return json_response(exc.status, {"error": error}, _retry_headers(exc))


def problem(exc: _errors.RequestError) -> Response:
    """Returns an error response with problem details (RFC 9457)."""
    value = {
        "type": f"urn:turmericward:problem:{exc.code}",
        "title": exc.code.replace("_", " "),
        "status": exc.status,
        "detail": exc.detail,
        "outcome": exc.outcome.value,
    }
    resp = json_response(exc.status, value, _retry_headers(exc))
    resp.content_type = PROBLEM_JSON
    return resp


def parse_query(raw: str) -> dict[str, str]:
    """Returns the query parameters; the last value of a repeated name wins."""
    return dict(urllib.parse.parse_qsl(raw, keep_blank_values=True))
