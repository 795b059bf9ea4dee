"""What a front hands to the delivery engine, and what it gets back."""

import enum
from collections.abc import Callable, Iterable, Iterator

import attrs

from turmericward import requests, runtime
from turmericward.adapters import _request

Headers = tuple[tuple[str, str], ...]


class CallKind(enum.Enum):
    """How often a call may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Destination:
    """A service that a route leads to, with its share of the traffic."""

    service: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Route:
    """Where the calls of one host and path prefix go, and their bounds.

    `objective_s` bounds the first byte or event, `gap_s` the pause between two
    events; clients leave after `abandon_s` without an event; `max_attempts`
    counts the targets on which one call may run; lower numbers of `priority` go
    first.
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

    @property
    def repeatable(self) -> bool:
        """Tells whether a call may run again after it may have run."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


@attrs.frozen(kw_only=True)
class Call:
    """One call of a client.

    `target` is the path with its query as the client sent it; `until` ends the
    client's patience in steady seconds, `deadline_s` is what the client had of it
    when it sent the call; `resume_after` is the last event id
    that the client has, empty for none.
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    received: float
    deadline_s: float
    until: float
    prompt: requests.Prompt | requests.Demand | None = None
    resume_after: str = ""
    disconnected: Callable[[], bool] = lambda: False
    traffic_class: str = ""
    tenant: str = ""

    def left_s(self) -> float:
        """Returns the seconds until the client or the route gives up."""
        return self.until - runtime.now()


@attrs.frozen(kw_only=True)
class Dispatch:
    """How one attempt is sent to a target.

    `source` names KV cache to continue from, `fetch_from` the address of a
    target that keeps a part of the prompt; `prefill_only` asks for KV cache
    instead of an answer.
    """

    timeout_s: float
    priority: int
    resume_after: str = ""
    source: str = ""
    fetch_from: str = ""
    prefill_only: bool = False


@attrs.define(kw_only=True)
class Answer:
    """The head of a target's answer; `chunks` yields its body as it arrives.

    `not_run` holds when the target says that it didn't run the call and never
    will; `genuine` when it is the target's own answer to this call.
    """

    status: int
    headers: Headers
    chunks: Iterator[bytes]
    close: Callable[[], None]
    wait_until: Callable[[float], None] = lambda until: None
    not_run: bool = False
    genuine: bool = True
    numbered: bool = False

    def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            AnswerLostError: it breaks off, or goes on beyond what is taken.
        """
        return _request.joined(self.chunks)


@attrs.frozen(kw_only=True)
class Failure:
    """Why a call has no answer; `retry_after_s` only where it surely didn't run."""

    status: int
    reason: str
    may_have_run: bool
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class Reply:
    """What the client gets: a target's answer, or a failure.

    `target` names the target that answers, or was asked last. The body of a stream
    is iterable over batches of events; it has to be closed.
    """

    status: int
    target: str = ""
    headers: Headers = ()
    body: bytes | Iterable = b""
    failure: Failure | None = None
