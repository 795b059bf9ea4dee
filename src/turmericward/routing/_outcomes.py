"""What a target's answer says of the call, and what a status says to a client."""

import enum
import http

# Statuses by which this system promises clients that a call hasn't run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Outcome(enum.Enum):
    """What an answer says of its call.

    `SERVED`: the target ran it or answered it for good. `NOT_RUN`: it states that it
    didn't run it and never will. `FAILED`: it may have run it, without success.
    `FOREIGN`: the target didn't send the answer to this call.
    """

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    FOREIGN = "foreign"


def outcome_of(status: int, *, refused: bool, genuine: bool = True) -> Outcome:
    """Returns what an answer says of its call.

    Args:
        status: its HTTP status, which alone proves no refusal.
        refused: whether the target states, as its protocol has it, that it didn't run
            the call and never will.
        genuine: whether the target itself sent the answer, to this call.
    """
    if refused:
        return Outcome.NOT_RUN
    if not genuine:
        return Outcome.FOREIGN
    if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES:
        return Outcome.FAILED
    return Outcome.SERVED
