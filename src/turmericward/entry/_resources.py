"""Resource API for operators: optimistic concurrency, watches and status."""

import functools
import json
import time
from collections.abc import Iterator

import attrs
from absl import logging

from turmericward import configuration, schema
from turmericward.adapters import errors, steward
from turmericward.entry import _context, _errors, _http
from turmericward.wire import constants, ttypes

PREFIX = "/apis/v1/"
PROPOSE_TIMEOUT_S = 8.0
# Stewards that are asked for a change before it is refused.
PROPOSE_STEWARDS = 4
STATUS_TIMEOUT_S = 2.0
READ_YOUR_WRITES_TIMEOUT_S = 3.0
MAX_CONFLICT_ATTEMPTS = 8
BOOKMARK_INTERVAL_S = 1.0
RETRY_DELAY_S = 1.0
MAX_WATCHES = 16
JSON_LINES = "application/jsonl"


@attrs.frozen(kw_only=True)
class Change:
    """A requested write of one resource.

    `expected` is the version precondition; `value` is None for a deletion.
    """

    kind: str
    name: str
    expected: int
    value: dict | None
    producer: str


class Resources:
    """Handlers of `/apis/v1`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers on the given entry context."""
        self._ctx = ctx
        self._watches = 0

    def handle(self, req: _http.Request) -> _http.Response:
        """Handles all requests below `/apis/v1/`."""
        operator = self._operator(req)
        self._ctx.view()
        kind, _, rest = req.path.removeprefix(PREFIX).partition("/")
        name, _, sub = rest.partition("/")
        if kind not in configuration.kinds():
            raise _errors.RequestError(
                404, "kind_not_found", f"kind {kind!r} does not exist"
            )
        if not name:
            return self._collection(req, kind)
        if sub == "status" and req.method == "GET":
            return self._status(kind, name)
        if sub:
            raise _errors.RequestError(404, "not_found", f"{req.path!r} does not exist")
        return self._item(req, kind, name, operator)

    def _operator(self, req: _http.Request) -> str:
        digest = _context.bearer_digest(req)
        for operator in self._ctx.cfg.operators:
            if digest and operator.key_sha256 == digest:
                return operator.name
        raise _errors.RequestError(
            401, "operator_key", "operator key is missing or unknown"
        )

    def _collection(self, req: _http.Request, kind: str) -> _http.Response:
        if req.method != "GET":
            raise _method_not_allowed(req)
        if req.query.get("watch") in ("1", "true"):
            return self._start_watch(req, kind)
        applied = self._ctx.mirror.applied
        resources = [r for r in self._ctx.mirror.all_resources() if r.kind == kind]
        items = [_document(r) for r in sorted(resources, key=lambda r: r.name)]
        return _http.json_response(200, {"resourceVersion": applied, "items": items})

    def _item(self, req, kind: str, name: str, operator: str) -> _http.Response:
        if req.method == "GET":
            return _resource_response(self._get_existing(kind, name))
        if req.method == "PUT":
            value = _json_object(req)
            change = self._change(req, kind, name, operator, value)
            return self._apply(change)
        if req.method == "PATCH":
            return self._patch(req, kind, name, operator)
        if req.method == "DELETE":
            self._get_existing(kind, name)
            return self._apply(self._change(req, kind, name, operator, None))
        raise _method_not_allowed(req)

    def _get_existing(self, kind: str, name: str) -> configuration.Resource:
        resource = self._ctx.mirror.get(kind, name)
        if resource is None:
            raise _errors.RequestError(
                404, "not_found", f"{kind} {name!r} does not exist"
            )
        return resource

    def _change(self, req, kind, name, operator, value) -> Change:
        expected = _expected_version(req)
        return Change(
            kind=kind, name=name, expected=expected, value=value, producer=operator
        )

    def _patch(self, req, kind: str, name: str, operator: str) -> _http.Response:
        patch = _json_object(req)
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            current = self._get_existing(kind, name)
            expected = _expected_version(req)
            has_precondition = expected != constants.ANY_VERSION
            change = Change(
                kind=kind,
                name=name,
                expected=expected if has_precondition else current.version,
                value=merge_patch(current.value, patch),
                producer=operator,
            )
            try:
                return self._apply(change)
            except _errors.RequestError as exc:
                if has_precondition or exc.code != "version_conflict":
                    raise
                self._ctx.mirror.wait_applied(current.version + 1, RETRY_DELAY_S)
        raise _version_conflict()

    def _apply(self, change: Change) -> _http.Response:
        if change.value is not None:
            try:
                configuration.parse(change.kind, change.value)
            except configuration.InvalidResourceError as exc:
                raise _errors.RequestError(422, "invalid_resource", str(exc)) from exc
        answer = self._propose(change)
        self._ctx.mirror.wait_applied(answer.version, READ_YOUR_WRITES_TIMEOUT_S)
        resource = configuration.Resource(
            kind=change.kind,
            name=change.name,
            version=answer.version,
            value=change.value,
        )
        return _resource_response(resource)

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
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            answer = self._call_steward(req)
            if answer.outcome == ttypes.Outcome.ACCEPTED:
                return answer
            if answer.outcome != ttypes.Outcome.CONFLICT or not any_version:
                break
        raise _PROPOSE_ERRORS[answer.outcome]()

    def _call_steward(self, req: ttypes.ProposeRequest) -> ttypes.ProposeAnswer:
        try:
            return steward.call_first_available(
                self._ctx.follow.stewards()[:PROPOSE_STEWARDS],
                PROPOSE_TIMEOUT_S,
                "propose",
                req,
                lambda answer: answer.outcome == ttypes.Outcome.UNAVAILABLE,
            )
        except errors.StewardNoResponseError as exc:
            logging.warning("proposing a change failed: %s", exc)
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNKNOWN)
        except errors.StewardUnavailableError as exc:
            logging.warning("proposing a change failed: %s", exc)
            return ttypes.ProposeAnswer(outcome=ttypes.Outcome.UNAVAILABLE)

    def _start_watch(self, req: _http.Request, kind: str) -> _http.Response:
        version = _parse_version(req.query.get("resourceVersion", "0"))
        if self._ctx.mirror.changes_since(kind, version, 0) is None:
            raise _errors.RequestError(
                410, "version_expired", f"resourceVersion {version} is too old"
            )
        if self._watches >= MAX_WATCHES or not self._ctx.thread_limiter.allow(
            urgent=False
        ):
            raise _errors.RequestError(
                503,
                "too_many_watches",
                "no thread is free",
                retry_after_s=RETRY_DELAY_S,
            )
        body = self._watch_lines(req, kind, version)
        return _http.Response(status=200, content_type=JSON_LINES, body=body)

    def _watch_lines(self, req, kind: str, version: int) -> Iterator[bytes]:
        self._watches += 1
        last_line = time.monotonic()
        try:
            while not self._ctx.draining.is_set() and not req.disconnected():
                update = self._ctx.mirror.changes_since(
                    kind, version, BOOKMARK_INTERVAL_S
                )
                if update is None:
                    return
                version, changes = update
                for res in changes:
                    yield _watch_event(res)
                idle = time.monotonic() - last_line >= BOOKMARK_INTERVAL_S
                if changes or idle:
                    yield _bookmark(version)
                    last_line = time.monotonic()
        finally:
            self._watches -= 1

    def _status(self, kind: str, name: str) -> _http.Response:
        version = self._get_existing(kind, name).version
        domains: dict[str, dict[str, int]] = {}
        for address in self._ctx.follow.stewards():
            status = _steward_status(address)
            if status is None:
                continue
            counts = domains.setdefault(status.domain, {"entries": 0, "in_force": 0})
            counts["entries"] += len(status.entries)
            counts["in_force"] += sum(v >= version for v in status.entries.values())
        value = {"kind": kind, "name": name, "accepted": version, "domains": domains}
        return _http.json_response(200, value)


def _steward_status(address: str) -> ttypes.DomainStatus | None:
    try:
        with steward.open_client(address, STATUS_TIMEOUT_S) as client:
            return client.status()
    except errors.StewardUnavailableError as exc:
        logging.info("steward status request failed: %s", exc)
        return None


def merge_patch(value: object, patch: object) -> object:
    """Applies a JSON merge patch (RFC 7396)."""
    if not isinstance(patch, dict):
        return patch
    result = dict(value) if isinstance(value, dict) else {}
    for name, member in patch.items():
        if member is None:
            result.pop(name, None)
        else:
            result[name] = merge_patch(result.get(name), member)
    return result


def _json_object(req: _http.Request) -> dict:
    value = req.json()
    if not isinstance(value, dict):
        raise _errors.RequestError(422, "invalid_resource", "body is not a JSON object")
    return value


def _parse_version(text: str) -> int:
    try:
        return schema.parse_int(text, 0, schema.MAX_INT)
    except schema.SchemaError as exc:
        msg = f"{text[:40]!r} is not a version"
        raise _errors.RequestError(400, "invalid_version", msg) from exc


def _expected_version(req: _http.Request) -> int:
    match = req.headers.get("if-match")
    if match is not None and match.strip() != "*":
        return _parse_version(match.strip().strip('"'))
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


def _resource_response(res: configuration.Resource) -> _http.Response:
    headers = [("ETag", f'"{res.version}"')]
    return _http.json_response(200, _document(res), headers)


def _watch_event(res: configuration.Resource) -> bytes:
    kind = "DELETED" if res.value is None else "MODIFIED"
    return json.dumps({"type": kind, "object": _document(res)}).encode() + b"\n"


def _bookmark(version: int) -> bytes:
    line = {"type": "BOOKMARK", "resourceVersion": version}
    return json.dumps(line).encode() + b"\n"


def _method_not_allowed(req: _http.Request) -> _errors.RequestError:
    return _errors.RequestError(
        405, "method_not_allowed", f"{req.method} is not allowed here"
    )


_version_conflict = functools.partial(
    _errors.RequestError,
    412,
    "version_conflict",
    "the resource has another version",
)
_PROPOSE_ERRORS = {
    ttypes.Outcome.CONFLICT: _version_conflict,
    ttypes.Outcome.UNKNOWN: functools.partial(
        _errors.RequestError,
        504,
        "outcome_unknown",
        "the change was sent to the log and has not been read back",
        outcome=_errors.ExecutionState.UNKNOWN,
    ),
    ttypes.Outcome.UNAVAILABLE: functools.partial(
        _errors.RequestError,
        503,
        "log_unavailable",
        "no steward can reach the log",
        retry_after_s=RETRY_DELAY_S,
    ),
}
