"""When refused calls may return, spread over the rate at which they can be served."""

# A call is never asked to return later than this.
MAX_RETURN_S = 5.0


class ReturnTimes:
    """The next free return time by service; times are monotonic seconds.

    Load pattern handled: more calls than the limited targets of a service take, whose
    clients would otherwise all return for the same next request.
    """

    def __init__(self) -> None:
        """Starts with all times free."""
        self._next_at: dict[str, float] = {}

    def reserve_s(
        self, service: str, earliest_s: float, per_s: float, now: float
    ) -> float:
        """Returns how long a refused call should wait, and reserves that time.

        Args:
            service: name of the service that refuses the call.
            earliest_s: the shortest wait.
            per_s: calls a second that this front can send to the service.
            now: monotonic seconds.
        """
        latest = now + max(earliest_s, MAX_RETURN_S)
        at = min(latest, max(now + earliest_s, self._next_at.get(service, now)))
        self._next_at[service] = at + (1 / per_s if per_s else 0.0)
        return at - now
