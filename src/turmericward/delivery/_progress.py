"""Attempts of one call so far, and whether another one may follow."""

from collections.abc import Set

import attrs

from turmericward import routing

# Targets that may refuse a call or be unreachable before the client is refused.
MAX_REFUSALS = 4
# Targets that may end while they hold a call.
MAX_CRASHES = 2
RETRY_AFTER_S = 0.5


class CallAbandonedError(Exception):
    """Raised when no further attempt is made; `Progress.failure` has the reason."""


@attrs.define(kw_only=True)
class Progress:
    """Attempts of one call so far.

    `arrivals` counts attempts that reached a target, `prefills` the successful separate
    prefills. The first prefill is no retry, a further one is. `silent` targets neither
    accepted nor refused a connection: they may be tried again, as may `superseded`
    ones, whose attempt was ended in favour of another. `reason` is the cause of the
    failure, `stop_reason` why no further attempt is made.

    The route bounds the targets at which the call may run. When there are as many, it
    goes again to those where this front ended an attempt that had not failed: beside a
    running one only if it had not been silent either, or two targets that need time
    would get the call in turns for ever.
    """

    route: routing.Route
    excluded: frozenset[str] = frozenset()
    arrivals: int = 0
    prefills: int = 0
    reason: str = ""
    stop_reason: str = ""
    retry_after_s: float = RETRY_AFTER_S
    fallback: routing.Reply | None = None
    silent: frozenset[str] = frozenset()
    superseded: frozenset[str] = frozenset()
    placements: int = 0
    _refusals: int = 0
    _crashes: int = 0
    # Names of the targets at which the call may have run; of those that were left; and
    # of those among them that were not needed.
    _ran_at: frozenset[str] = frozenset()
    _left: frozenset[str] = frozenset()
    _not_needed: frozenset[str] = frozenset()
    _interrupted: bool = False
    _repeats_forbidden: bool = False

    def avoided(self, running: Set[str] = frozenset()) -> frozenset[str]:
        """Returns the targets to which the next attempt isn't sent.

        Args:
            running: names of the targets of the attempts that go on.
        """
        avoided = self.excluded | self.silent
        goes_back = not running and self._has_all(running)
        return avoided if goes_back else avoided | self.superseded

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run at a target."""
        return bool(self._ran_at) or self._interrupted

    def bound_to(self, running: Set[str]) -> frozenset[str] | None:
        """Returns the targets that the next attempt may go to, None for any.

        Args:
            running: names of the targets of the attempts that go on.
        """
        return self._returnable(running) if self._has_all(running) else None

    def _has_all(self, running: Set[str]) -> bool:
        return len(self._ran_at | running) >= self.route.max_attempts

    def _returnable(self, running: Set[str]) -> frozenset[str]:
        left = self._not_needed if running else self._left
        return left - self.excluded - running

    def record_unreachable(self, target: str) -> None:
        """Records a target that couldn't be reached.

        Raises:
            CallAbandonedError: too many targets were unreachable or refused the call.
        """
        self._exclude_target(target)

    def record_silent(self, target: str) -> None:
        """Records a target that neither accepted nor refused a connection."""
        self.silent |= {target}

    def record_refusal(self, target: str) -> None:
        """Records a target that didn't run the call and never will.

        Raises:
            CallAbandonedError: too many targets were unreachable or refused the call.
        """
        self.arrivals += 1
        self.reason = "targets_refused"
        self._exclude_target(target)

    def _exclude_target(self, target: str) -> None:
        self.excluded |= {target}
        self._refusals += 1
        if self._refusals >= MAX_REFUSALS:
            self._stop("refusals")

    def record_prefill_failure(self, target: str, *, crashed: bool) -> None:
        """Records a target whose prefill failed; `crashed` if it has ended.

        Raises:
            CallAbandonedError: too many targets have ended under the call.
        """
        self._record_lost(target)
        self._count_crash(crashed)

    def _record_lost(self, target: str) -> None:
        self.excluded |= {target}
        self._record_arrival()

    def _record_arrival(self) -> None:
        self.arrivals += 1
        self.reason = "answer_lost"

    def _count_crash(self, crashed: bool) -> None:
        self._crashes += crashed
        if self._crashes >= MAX_CRASHES:
            self._stop("crashes")

    def record_failure_reply(self, reply: routing.Reply) -> None:
        """Records a target's failure, the call's reply if no attempt does better.

        Its status may say to the client that the call hasn't run, which the target
        doesn't state; such a reply isn't passed on.
        """
        if reply.status not in routing.NOT_RUN_STATUSES:
            self.fallback = reply

    def forbid_repeats(self) -> None:
        """Records that no other attempt can give the rest of what the client has."""
        self._repeats_forbidden = True

    @property
    def _repeatable(self) -> bool:
        return self.route.repeatable and not self._repeats_forbidden

    def record_failure(self, target: str, *, crashed: bool = False) -> None:
        """Records a failed attempt in which the call may have run.

        Raises:
            CallAbandonedError: the call must not run again.
        """
        self._record_lost(target)
        self._ran_at |= {target}
        self._count_crash(crashed)
        if not self._repeatable:
            self._stop("not_repeatable")
        if self._has_all(frozenset()) and not self._returnable(frozenset()):
            self._stop("max_attempts")

    def record_superseded(self, target: str, *, ran: bool) -> None:
        """Records an attempt that was ended in favour of another one.

        Args:
            target: the target, which was silent.
            ran: whether the call itself may have run there, not only its prompt.
        """
        self.superseded |= {target}
        self._record_arrival()
        self._not_needed -= {target}
        if ran:
            self._record_left(target)

    def record_not_needed(self, target: str) -> None:
        """Records a second attempt that was ended since the first goes on."""
        self.arrivals += 1
        self._record_left(target)
        self._not_needed |= {target}

    def _record_left(self, target: str) -> None:
        self._ran_at |= {target}
        self._left |= {target}

    def record_second(
        self, target: str, *, ran: bool, arrived: bool = True, crashed: bool = False
    ) -> None:
        """Records a second attempt that failed while the first one goes on.

        Args:
            target: its target.
            ran: whether the call may have run there.
            arrived: whether it reached the target.
            crashed: whether the target has ended.
        """
        self.excluded |= {target}
        self.arrivals += arrived
        self._crashes += crashed
        if ran:
            self._ran_at |= {target}

    def record_interrupted_run(self) -> None:
        """Records an attempt that ends with the process and may have run."""
        self.arrivals += 1
        self._interrupted = True
        self.reason = "process_stopped"

    def is_retry(self, *, prefilled: bool) -> bool:
        """Returns whether the next attempt counts against the retry budget.

        Args:
            prefilled: whether the prompt's KV cache is available for it.
        """
        return self.arrivals > 0 or (self.prefills > 0 and not prefilled)

    def may_repeat(self, running: Set[str]) -> bool:
        """Returns whether another attempt may follow those at the named targets."""
        return (
            self._repeatable
            and self._crashes < MAX_CRASHES
            and (not self._has_all(running) or bool(self._returnable(running)))
        )

    def abandon(self, reason: str, retry_after_s: float | None = None) -> None:
        """Abandons the call; an earlier reason takes precedence.

        Raises:
            CallAbandonedError: always.
        """
        self.reason = self.reason or reason
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s
        self._stop(reason)

    def _stop(self, reason: str) -> None:
        self.stop_reason = reason
        raise CallAbandonedError

    def failure(self, *, deadline_passed: bool) -> routing.Failure:
        """Returns the failure that is reported to the client."""
        if not self.may_have_run:
            return routing.Failure(
                status=503,
                reason=self.reason,
                may_have_run=False,
                retry_after_s=self.retry_after_s,
            )
        return routing.Failure(
            status=504 if deadline_passed else 502,
            reason=self.reason,
            may_have_run=True,
        )
