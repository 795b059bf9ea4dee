"""Operators' resource API with optimistic concurrency, watches and status."""

import functools
import json
import time
from collections.abc import Iterator

import attrs
from absl import logging

from turmericward import configuration
from turmericward.adapters import errors, steward
from turmericward.entry import _context, _errors, _http
from turmericward.wire import constants, ttypes

PREFIX = "/apis/v1/"
PROPOSE_CALL_S = 8.0
STATUS_CALL_S = 2.0
READ_YOUR_WRITE_S = 3.0
RETRIES_ON_CONFLICT = 8
BOOKMARK_S = 1.0
RETRY_S = 1.0
MAX_WATCHES = 16
JSON_LINES = "application/jsonl"


@attrs.frozen(kw_only=True)
class Change:
    """What a request wants to do to one resource."""

    kind: str
    name: str
    expected: int
    value: dict | None
    producer: str


class Resources:
    """Handlers of `/apis/v1`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers for an entry's context."""
        self._ctx = ctx
        self._watches = 0

    def handle(self, req: _http.Request) -> _http.Response:
        """Answers any request below `/apis/v1/`."""
        operator = self._operator(req)
        self._ctx.view()
        kind, _, rest = req.path.removeprefix(PREFIX).partition("/")
        name, _, sub = rest.partition("/")
        if kind not in configuration.kinds():
            raise _errors.RequestFaultError(
                404, "kind_not_found", f"kind {kind!r} does not exist"
            )
        if not name:
            return self._collection(req, kind)
        if sub == "status" and req.method == "GET":
            return self._status(kind, name)
        if sub:
            raise _errors.RequestFaultError(
                404, "not_found", f"{req.path!r} does not exist"
            )
        return self._item(req, kind, name, operator)

    def _operator(self, req: _http.Request) -> str:
        digest = _context.bearer_digest(req)
        for operator in self._ctx.cfg.operators:
            if digest and operator.key_sha256 == digest:
                return operator.name
        raise _errors.RequestFaultError(
            401, "operator_key", "operator key is missing or unknown"
        )

    def _collection(self, req: _http.Request, kind: str) -> _http.Response:
        if req.method != "GET":
            raise _method(req)
        if req.query.get("watch") in ("1", "true"):
            return self._watch(req, kind)
        applied = self._ctx.mirror.applied
        found = [r for r in self._ctx.mirror.live() if r.kind == kind]
        items = [_document(r) for r in sorted(found, key=lambda r: r.name)]
        return _http.json_response(200, {"resourceVersion": applied, "items": items})

    def _item(self, req, kind: str, name: str, operator: str) -> _http.Response:
        if req.method == "GET":
            return _found(self._existing(kind, name))
        if req.method == "PUT":
            value = _value_of(req)
            change = self._change(req, kind, name, operator, value)
            return self._apply(change)
        if req.method == "PATCH":
            return self._patch(req, kind, name, operator)
        if req.method == "DELETE":
            self._existing(kind, name)
            return self._apply(self._change(req, kind, name, operator, None))
        raise _method(req)

    def _existing(self, kind: str, name: str) -> configuration.Resource:
        found = self._ctx.mirror.get(kind, name)
        if found is None:
            raise _errors.RequestFaultError(
                404, "not_found", f"{kind} {name!r} does not exist"
            )
        return found

    def _change(self, req, kind, name, operator, value) -> Change:
        expected = _expected(req)
        return Change(
            kind=kind, name=name, expected=expected, value=value, producer=operator
        )

    def _patch(self, req, kind: str, name: str, operator: str) -> _http.Response:
        patch = _value_of(req)
        for _ in range(RETRIES_ON_CONFLICT):
            current = self._existing(kind, name)
            expected = _expected(req)
            given = expected != constants.ANY_VERSION
            change = Change(
                kind=kind,
                name=name,
                expected=expected if given else current.version,
                value=merged(current.value, patch),
                producer=operator,
            )
            try:
                return self._apply(change)
            except _errors.RequestFaultError as exc:
                if given or exc.code != "version_conflict":
                    raise
                self._ctx.mirror.wait_applied(current.version + 1, RETRY_S)
        raise _conflict()

    def _apply(self, change: Change) -> _http.Response:
        if change.value is not None:
            try:
                configuration.parse(change.kind, change.value)
            except configuration.InvalidResourceError as exc:
                raise _errors.RequestFaultError(
                    422, "invalid_resource", str(exc)
                ) from exc
        answer = self._propose(change)
        self._ctx.mirror.wait_applied(answer.version, READ_YOUR_WRITE_S)
        resource = configuration.Resource(
            kind=change.kind,
            name=change.name,
            version=answer.version,
            value=change.value,
        )
        return _found(resource)

    def _propose(self, change: Change) -> ttypes.ProposeAnswer:
        req = ttypes.ProposeRequest(
            kind=change.kind,
            name=change.name,
            expected=change.expected,
            value_json=json.dumps(change.value),
            deleted=change.value is None,
            producer=change.producer,
        )
        any_version = change.expected == constants.ANY_VERSION
        for _ in range(RETRIES_ON_CONFLICT):
            answer = self._ask_steward(req)
            if answer.outcome == ttypes.Outcome.ACCEPTED:
                return answer
            if answer.outcome != ttypes.Outcome.CONFLICT or not any_version:
                break
        raise _PROPOSE_FAULTS[answer.outcome]()

    def _ask_steward(self, req: ttypes.ProposeRequest) -> ttypes.ProposeAnswer:
        try:
            return steward.call_first(
                self._ctx.follow.stewards(), PROPOSE_CALL_S, "propose", req
            )
        except errors.StewardSilentError as exc:
            logging.warning("propose: %s", exc)
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNKNOWN)
        except errors.StewardUnavailableError as exc:
            logging.warning("propose: %s", exc)
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNAVAILABLE)

    def _watch(self, req: _http.Request, kind: str) -> _http.Response:
        version = _version(req.query.get("resourceVersion", "0"))
        if self._ctx.mirror.since(kind, version, 0) is None:
            raise _errors.RequestFaultError(
                410, "version_expired", f"resourceVersion {version} is too old"
            )
        if self._watches >= MAX_WATCHES or not self._ctx.seats.allow(urgent=False):
            raise _errors.RequestFaultError(
                503, "too_many_watches", "no thread is free", retry_after_s=RETRY_S
            )
        body = self._lines(req, kind, version)
        return _http.Response(status=200, content_type=JSON_LINES, body=body)

    def _lines(self, req, kind: str, version: int) -> Iterator[bytes]:
        self._watches += 1
        last_line = time.monotonic()
        try:
            while not self._ctx.draining.is_set() and not req.disconnected():
                found = self._ctx.mirror.since(kind, version, BOOKMARK_S)
                if found is None:
                    return
                version, changes = found
                for res in changes:
                    yield _event(res)
                idle = time.monotonic() - last_line >= BOOKMARK_S
                if changes or idle:
                    yield _bookmark(version)
                    last_line = time.monotonic()
        finally:
            self._watches -= 1

    def _status(self, kind: str, name: str) -> _http.Response:
        version = self._existing(kind, name).version
        domains: dict[str, dict[str, int]] = {}
        for address in self._ctx.follow.stewards():
            status = _steward_status(address)
            if status is None:
                continue
            row = domains.setdefault(status.domain, {"entries": 0, "in_force": 0})
            row["entries"] += len(status.entries)
            row["in_force"] += sum(v >= version for v in status.entries.values())
        value = {"kind": kind, "name": name, "accepted": version, "domains": domains}
        return _http.json_response(200, value)


def _steward_status(address: str) -> ttypes.DomainStatus | None:
    try:
        with steward.connected(address, STATUS_CALL_S) as client:
            return client.status()
    except errors.StewardUnavailableError as exc:
        logging.info("status: %s", exc)
        return None


def merged(value: object, patch: object) -> object:
    """Applies a JSON merge patch after RFC 7396."""
    if not isinstance(patch, dict):
        return patch
    result = dict(value) if isinstance(value, dict) else {}
    for name, part in patch.items():
        if part is None:
            result.pop(name, None)
        else:
            result[name] = merged(result.get(name), part)
    return result


def _value_of(req: _http.Request) -> dict:
    value = req.json()
    if not isinstance(value, dict):
        raise _errors.RequestFaultError(
            422, "invalid_resource", "body is not a JSON object"
        )
    return value


def _version(text: str) -> int:
    if not text.isdecimal():
        raise _errors.RequestFaultError(
            400, "invalid_version", f"{text!r} is not a version"
        )
    return int(text)


def _expected(req: _http.Request) -> int:
    match = req.headers.get("if-match")
    if match is not None and match.strip() != "*":
        return _version(match.strip().strip('"'))
    if req.headers.get("if-none-match", "").strip() == "*":
        return constants.NO_VERSION
    return constants.ANY_VERSION


def _document(res: configuration.Resource) -> dict:
    return {
        "kind": res.kind,
        "name": res.name,
        "resourceVersion": res.version,
        "value": res.value,
    }


def _found(res: configuration.Resource) -> _http.Response:
    headers = [("ETag", f'"{res.version}"')]
    return _http.json_response(200, _document(res), headers)


def _event(res: configuration.Resource) -> bytes:
    kind = "DELETED" if res.value is None else "MODIFIED"
    return json.dumps({"type": kind, "object": _document(res)}).encode() + b"\n"


def _bookmark(version: int) -> bytes:
    line = {"type": "BOOKMARK", "resourceVersion": version}
    return json.dumps(line).encode() + b"\n"


def _method(req: _http.Request) -> _errors.RequestFaultError:
    return _errors.RequestFaultError(
        405, "method_not_allowed", f"{req.method} is not allowed here"
    )


_conflict = functools.partial(
    _errors.RequestFaultError,
    412,
    "version_conflict",
    "the resource has another version",
)
_PROPOSE_FAULTS = {
    ttypes.Outcome.CONFLICT: _conflict,
    ttypes.Outcome.UNKNOWN: functools.partial(
        _errors.RequestFaultError,
        504,
        "outcome_unknown",
        "the change was sent to the log and has not been read back",
        outcome=_errors.RanState.UNKNOWN,
    ),
    ttypes.Outcome.UNAVAILABLE: functools.partial(
        _errors.RequestFaultError,
        503,
        "log_unavailable",
        "no steward can reach the log",
        retry_after_s=RETRY_S,
    ),
}
