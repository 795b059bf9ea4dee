"""Messages to the task that chooses targets."""

import attrs

from turmericward import fleet, requests, routing, sharing

# A target that has been answering a call for longer wasn't ended by it.
BEGINNING_S = 1.0
# Sound targets are silent for shorter times, as a rule.
SOUND_SILENCE_S = 2.0


@attrs.frozen(kw_only=True)
class SetTable:
    """A routing table, which takes effect if its version is newer."""

    table: routing.RoutingTable


@attrs.frozen(kw_only=True)
class RetryBounds:
    """Bounds on the retries of all fronts together.

    In any window, the arrivals beyond the first one of each call are at most `share`
    of the calls plus `slack`. As a message, it replaces the bounds in effect.
    """

    share: float
    slack: float


@attrs.frozen(kw_only=True)
class PutTargets:
    """Targets that were announced, and the names of those no longer announced."""

    targets: tuple[fleet.Target, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ReplaceTargets:
    """The complete list of announced targets.

    Targets whose announcement can't be decoded are listed by name only; they aren't
    removed.
    """

    targets: tuple[fleet.Target, ...]
    undecodable: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class TargetNotice:
    """State that a target reported in the headers of an answer.

    `leaving` applies to the incarnation that answered. During a backoff, given in
    seconds, the target accepts no calls of this front. `limit` is None if the answer
    doesn't tell whether the target has a limit.
    """

    target: fleet.Target
    leaving: bool = False
    backoff_s: float = 0.0
    limit: fleet.RateLimit | None = None


@attrs.frozen(kw_only=True)
class RequestSent:
    """A request other than a call was sent to the target at `address`."""

    address: str


@attrs.frozen(kw_only=True)
class StoreRecovered:
    """The store is available again after an outage."""


@attrs.frozen(kw_only=True)
class GetEngines:
    """Requests the engines in use; answered with an `EnginesView`."""


@attrs.frozen(kw_only=True)
class EnginesView:
    """Engines by service, and the load of all fronts by engine.

    `has_lowest_name` holds if no live peer has a lower name than this front; `listed`
    names the engines whose cache contents were listed, by any front; `scalable` the
    services whose replicas can be ordered.
    """

    engines: dict[str, list[fleet.Target]]
    loads: dict[str, fleet.EngineLoad]
    has_lowest_name: bool
    listed: frozenset[str]
    scalable: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class GetCapacity:
    """Requests the scalable services; answered with a `capacity.View`.

    Before the first configuration the answer is None.
    """


@attrs.frozen(kw_only=True)
class GetStatus:
    """Requests the dispatcher's state; answered with a `Status`."""


@attrs.frozen(kw_only=True)
class TargetStatus:
    """A target and its load from all fronts.

    `rests_s` is the remaining backoff for this front, in seconds; `limit_per_s` the
    requests a second that the target takes from all fronts, `limit_share_per_s` from
    this one, both None without a limit; `failure_share` the share of failures among
    the recent calls of all fronts.
    """

    name: str
    service: str
    address: str
    domain: str
    role: str
    leaving: bool
    held: bool
    rests_s: float
    limit_per_s: float | None
    limit_share_per_s: float | None
    usable: bool
    failure_share: float
    urgent_tokens: int
    deferred_tokens: int
    open_calls: int


@attrs.frozen(kw_only=True)
class BarredKey:
    """A key by which calls are kept away from targets for `barred_s` seconds.

    `kind` is what the key is, `key` its number in hexadecimal digits, `id` the
    segment's id in prompts or the request's route, empty if this front has seen none
    of the calls; so many targets crashed under it.
    """

    kind: str
    key: str
    id: str
    crashes: int
    barred_s: float


@attrs.frozen(kw_only=True)
class Status:
    """A front's view; `version` is None before the first configuration.

    `peer_ages_s` is the age of the latest state of each live peer, `retries_left` the
    number of retries that this front may send now, by service; `workspaces` are the
    heaviest ones of this front.
    """

    front: str
    domain: str
    version: int | None
    targets: tuple[TargetStatus, ...]
    peer_ages_s: dict[str, float]
    retries_left: dict[str, float]
    barred: tuple[BarredKey, ...] = ()
    workspaces: tuple[sharing.WorkspaceStatus, ...] = ()


@attrs.frozen(kw_only=True)
class EngineCacheListing:
    """KV cache contents of an engine: numbers of prefix segments, with tokens."""

    target: fleet.Target
    segments: tuple[tuple[int, int], ...]


@attrs.frozen(kw_only=True)
class HoldTarget:
    """Holds back new calls of all fronts to a target for `duration_s` seconds."""

    name: str
    duration_s: float


@attrs.frozen(kw_only=True)
class SilentTarget:
    """A target that holds a call and has been silent for `silent_s` seconds."""

    name: str
    silent_s: float

    @property
    def may_go_on(self) -> bool:
        """Whether the target is likely to go on by itself."""
        return self.silent_s < SOUND_SILENCE_S


@attrs.frozen(kw_only=True)
class TargetWentOn:
    """The target `name`, which was reported as silent, has output again."""

    name: str


@attrs.frozen(kw_only=True)
class Place:
    """Requests a target; answered with a Result of Placement or Refusal.

    `prefilled` holds if the prompt's KV cache is available at another target, in the
    failure domain `prefill_domain` if that is known; `retry` if an earlier attempt of
    the call has reached the service; `first` if no target was requested for it before.
    `silent` is the target of an attempt that is still
    open: the call can do without another one, which is granted only at a target that
    takes it at once. `only` names the targets that it may go to, None for any.
    `fingerprint` names the call's content.
    """

    call: routing.Call
    service: str
    excluded: frozenset[str]
    retry: bool = False
    prefilled: bool = False
    prefill_domain: str = ""
    silent: SilentTarget | None = None
    first: bool = True
    only: frozenset[str] | None = None
    # Not computed by the task that answers, which all calls share.
    fingerprint: int = attrs.field()

    @fingerprint.default
    def _fingerprint_of_call(self) -> int:
        return routing.fingerprint(self.call, self.service)

    def may_go_to(self, target: str) -> bool:
        """Returns whether the call may go to the named target."""
        bound = self.only is not None and target not in self.only
        return not bound and target not in self.excluded

    @property
    def is_optional(self) -> bool:
        """Whether the call is likely to be answered without the target."""
        return self.silent is not None and self.silent.may_go_on

    @property
    def retries_kept(self) -> float:
        """Retries that an optional attempt has to leave.

        If the first attempt is ended before the second one has answered, the call may
        need a third.
        """
        return 0.0 if self.call.first_answer_counts else 1.0


@attrs.frozen(kw_only=True)
class IsUsable:
    """Asks whether a target that was placed on may still get a call."""

    target: fleet.Target


@attrs.frozen(kw_only=True)
class IsReplaced:
    """Asks whether a target is known to have ended, as another one has begun since.

    That is a later incarnation of its name, or any other target at its address.
    """

    target: fleet.Target


@attrs.frozen(kw_only=True)
class FirstOutput:
    """The first token or the end of a prefill, `took_s` after the call was sent.

    `workspace` is set, and `began_at` in monotonic seconds, if a call of a workspace
    has begun to run by this; not by a prefill, nor by the resumption of a stream.
    """

    placement: requests.Placement
    prompt: requests.Prompt | None
    took_s: float
    workspace: str = ""
    began_at: float = 0.0


@attrs.frozen(kw_only=True)
class PublishBegan:
    """Asks to publish now which calls have begun to run; before the process ends."""


@attrs.frozen(kw_only=True)
class PlacementEnded:
    """The end of a placement.

    `streamed` holds if its stream was completed, `answered` if the call got its whole
    answer, streamed or not; `connection_lost` if the target closed the connection
    before that. `writing_s` is the time since the target's first output
    of the answer, 0 without one.
    """

    placement: requests.Placement
    prompt: requests.Prompt | None
    ending: requests.Ending
    streamed: bool = False
    answered: bool = False
    connection_lost: bool = False
    writing_s: float = 0.0

    @property
    def target_closed_call(self) -> bool:
        """Whether the target ended, or may have, as it was beginning to answer."""
        closed = self.ending is requests.Ending.CRASHED or self.connection_lost
        return closed and self.writing_s <= BEGINNING_S
