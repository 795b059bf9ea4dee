"""Calls, routes and replies, independent of the protocols on both sides."""

import enum
from collections.abc import Callable, Iterable, Iterator

import attrs

from turmericward import requests, runtime
from turmericward.adapters import _pending, _request
from turmericward.routing import _outcomes, _workspaces

Headers = tuple[tuple[str, str], ...]


class CallKind(enum.Enum):
    """Retry semantics of a call."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Destination:
    """A service of a route, with its relative share of the traffic."""

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Route:
    """Destinations and bounds of the calls to one host and path prefix.

    `objective_s` is the latency objective for the first byte or event, `gap_s` the
    one for the interval between two events; clients disconnect after `abandon_s`
    without an event; `max_attempts` bounds the targets on which one call may run;
    lower values of `priority` are served first; calls of a `public` route need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_s: float
    objective_s: float
    gap_s: float
    abandon_s: float
    priority: int
    max_attempts: int
    resumable: bool
    destinations: tuple[Destination, ...]
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a call may be retried after it may have run."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


@attrs.frozen(kw_only=True)
class Call:
    """One call of a client.

    `target` is the path with its query as the client sent it; `received` and
    `deadline` are monotonic seconds; `deadline_s` is the time to the deadline when
    the client sent the call; `caller` is what the client calls itself, empty if it
    doesn't; `resume_after` is the last event id that the client has,
    or empty; `cancelled` returns whether the call has to end, since its client has left
    or its process stops.
    """

    id: str
    method: str
    target: str
    # Not for the log.
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    route: Route
    received: float
    deadline_s: float
    deadline: float
    prompt: requests.Prompt | requests.Demand | None = None
    resume_after: str = ""
    cancelled: Callable[[], bool] = lambda: False
    traffic_class: str = ""
    tenant: str = ""
    # Not for the log: it may be a credential.
    caller: str = attrs.field(default="", repr=False)
    workspace: _workspaces.Workspace | None = None

    @property
    def priority(self) -> int:
        """Rank of the call: its workspace's, or else its route's; lower goes first."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def first_answer_counts(self) -> bool:
        """Whether two targets may run it until one of them answers."""
        return self.prompt is None and self.route.kind is CallKind.IDEMPOTENT

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - runtime.now()


@attrs.frozen(kw_only=True)
class Dispatch:
    """Parameters of one attempt at a target.

    `kv_source` is the handle of KV cache to continue from, `fetch_from` the address
    of a target that has a prefix of the prompt cached; `prefill_only` requests KV cache
    instead of an answer.
    `on_late` is called when the target has been silent for `timeout_s`, or until the
    time set by `Answer.wait_until`, while its connection stays open. It returns until
    when to wait further, in monotonic seconds, or raises an error that ends the
    attempt. `rival` is the connection of an earlier attempt that is still open: the
    attempt ends with `RivalAnsweredError` as soon as that one gets bytes.
    """

    timeout_s: float
    priority: int
    resume_after: str = ""
    kv_source: str = ""
    fetch_from: str = ""
    prefill_only: bool = False
    on_late: Callable[[_pending.PendingConnection], float] = _pending.give_up
    rival: _pending.PendingConnection | None = None


@attrs.define(kw_only=True)
class Answer:
    """The head of a target's answer; `chunks` yields its body as it arrives.

    `wait_until` sets until when `chunks` waits for data, in monotonic seconds, before
    it calls `Dispatch.on_late`; a transport may ignore it and wait on.
    `outcome` is what it says of the call; `numbered` holds if the ids of its events are
    consecutive numbers; `unframed` if its body ends with the connection, so that its
    end doesn't show whether it is whole; `ended_in_order` returns whether that end
    still isn't known to be a reset, until `close`; `ended_promptly` returns whether it
    was read as it was sent, so that the target that listens then has sent it.
    """

    status: int
    headers: Headers
    chunks: Iterator[bytes]
    close: Callable[[], None]
    wait_until: Callable[[float], None] = lambda until: None
    outcome: _outcomes.Outcome = _outcomes.Outcome.SERVED
    numbered: bool = False
    unframed: bool = False
    ended_in_order: Callable[[], bool] = lambda: True
    ended_promptly: Callable[[], bool] = lambda: True

    def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            AnswerLostError: it is incomplete or exceeds the size limit.
        """
        return _request.join_body(self.chunks)

    def whole(self) -> "Answer":
        """Returns the answer with its complete body, and closes its connection.

        Raises:
            AdapterError: as for `read`, or the wait for it has ended.
        """
        try:
            body = self.read()
        finally:
            self.close()
        return attrs.evolve(self, chunks=iter((body,)))


@attrs.frozen(kw_only=True)
class Failure:
    """Why a call failed; `retry_after_s` is set only if it certainly didn't run."""

    status: int
    reason: str
    may_have_run: bool
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class Reply:
    """The reply to the client: a target's answer or a failure.

    `target` names the target of the answer or of the last attempt. The body of a
    stream is iterable over batches of events; it has to be closed.
    """

    status: int
    target: str = ""
    headers: Headers = ()
    body: bytes | Iterable = b""
    failure: Failure | None = None
