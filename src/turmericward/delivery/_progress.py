"""What is known of one call's attempts, and what follows for the next."""

import attrs

from turmericward.delivery import _calls

# Refusals by targets after which a call is refused for its client too.
MAX_REFUSALS = 4
RETRY_AFTER_S = 0.5


class GivenUpError(Exception):
    """Raised when no further attempt is made; the reply follows from progress."""


@attrs.define(kw_only=True)
class Progress:
    """Attempts of one call so far.

    `arrived` counts those that reached a target, `ran` those that may have run
    there, `prefills` the times that the prompt was read apart. The first prefill
    is no retry, a further one is. `reason` is what went wrong first, `stopped` why
    no further attempt is made.
    """

    route: _calls.Route
    excluded: frozenset[str] = frozenset()
    arrived: int = 0
    ran: int = 0
    prefills: int = 0
    reason: str = ""
    stopped: str = ""
    retry_after_s: float = RETRY_AFTER_S
    fallback: _calls.Reply | None = None
    _refusals: int = 0

    def not_reached(self, target: str) -> None:
        """Notes a target without connection.

        Raises:
            GivenUpError: too many targets didn't take the call.
        """
        self._not_taken(target)

    def refused(self, target: str) -> None:
        """Notes a target that didn't run the call and never will.

        Raises:
            GivenUpError: too many targets didn't take the call.
        """
        self.arrived += 1
        self.reason = "targets_refused"
        self._not_taken(target)

    def _not_taken(self, target: str) -> None:
        self.excluded |= {target}
        self._refusals += 1
        if self._refusals >= MAX_REFUSALS:
            self._stop("refusals")

    def prefill_failed(self, target: str) -> None:
        """Notes a target that gave no good answer to a prefill."""
        self.excluded |= {target}
        self.arrived += 1
        self.reason = "answer_lost"

    def failed(self, target: str) -> None:
        """Notes a target where the call may have run, without a good answer.

        Raises:
            GivenUpError: the call may not run again.
        """
        self.prefill_failed(target)
        self.ran += 1
        if not self.route.repeatable:
            self._stop("not_repeatable")
        if self.ran >= self.route.max_attempts:
            self._stop("max_attempts")

    def is_retry(self, *, read: bool) -> bool:
        """Tells whether the next arrival goes beyond the call's first.

        Args:
            read: whether the prompt's KV cache lies ready for it.
        """
        return self.arrived > 0 or (self.prefills > 0 and not read)

    def may_repeat(self) -> bool:
        """Tells whether another attempt may follow the one that runs."""
        return self.route.repeatable and self.ran + 1 < self.route.max_attempts

    def given_up(self, reason: str, retry_after_s: float | None = None) -> None:
        """Notes why no target is asked any more; the first reason counts.

        Raises:
            GivenUpError: always.
        """
        self.reason = self.reason or reason
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s
        self._stop(reason)

    def _stop(self, reason: str) -> None:
        self.stopped = reason
        raise GivenUpError

    def failure(self, *, late: bool) -> _calls.Failure:
        """Returns what the client is told; `late` when its deadline has passed."""
        if not self.ran:
            return _calls.Failure(
                status=503,
                reason=self.reason,
                may_have_run=False,
                retry_after_s=self.retry_after_s,
            )
        return _calls.Failure(
            status=504 if late else 502, reason=self.reason, may_have_run=True
        )
