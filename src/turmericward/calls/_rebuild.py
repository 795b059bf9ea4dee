"""Follows a log that has returned from an older copy, until its claims are whole again.

Load pattern handled: hundreds of readers learn of the return within a second, and each
of them has the claims that the log has lost. They write them again at random times,
each only what the others have not written until then. One that starts meanwhile knows
none of them, and has to wait for those that do.
"""

from turmericward.calls import _ledger, _records

# Time over which the readers' first writes are spread, and until what is still missing
# is written again.
SPREAD_S = 0.5
RETRY_S = 1.0
# Time in which others learn of a new era and have written again what it lacks.
WAIT_S = 2.5


def lost_records(
    known: _ledger.ClaimLedger, current: _ledger.ClaimLedger
) -> list[_records.Claim | _records.Settle]:
    """Returns claims and settlements that a log has lost.

    Args:
        known: the state before the log's return.
        current: the state according to the log now.
    """
    records: list[_records.Claim | _records.Settle] = []
    for scope, key, call in known.all():
        found = current.get(scope, key)
        if found is None:
            records.append(
                _records.Claim(
                    id=call.owner,
                    scope=scope,
                    key=key,
                    fingerprint=call.fingerprint,
                    floor=0,
                )
            )
        owns = found is None or found.owner == call.owner
        if owns and call.settled and not (found and found.settled):
            records.append(
                _records.Settle(
                    id=call.owner, scope=scope, key=key, ran=True, answer=call.answer
                )
            )
    for scope, key, call in current.all():
        if not call.settled and known.has_ended(call.owner):
            records.append(
                _records.Settle(id=call.owner, scope=scope, key=key, ran=False)
            )
    return records


class Rebuild:
    """What was known of claims before a new era of the log, until the log has it again.

    Until then no claim is granted: the key may have been claimed, and its call run.
    """

    def __init__(
        self, era: int, known: _ledger.ClaimLedger, now: float, jitter: float
    ) -> None:
        """Starts when the era is seen.

        Args:
            era: the era.
            known: the claims before.
            now: monotonic seconds.
            jitter: between 0 and 1, to spread the writes of all readers.
        """
        self.known = known
        self._era = era
        self._write_at = now + jitter * SPREAD_S
        self._mark_at = now + WAIT_S + jitter * SPREAD_S

    def is_complete(self, current: _ledger.ClaimLedger, now: float) -> bool:
        """Returns whether the log, read to its end, has everything again.

        The era's record is written only after the time in which others write. Till then
        a key that another attempt owns may become free again: its claim, appended late
        and never granted, is settled.
        """
        if current.era < self._era or lost_records(self.known, current):
            return False
        return now >= self._mark_at or not self._is_contested(current)

    def _is_contested(self, current: _ledger.ClaimLedger) -> bool:
        return any(
            current.get(scope, key).owner != call.owner
            for scope, key, call in self.known.all()
        )

    def due_records(
        self, current: _ledger.ClaimLedger, now: float
    ) -> list[_records.Claim | _records.Settle | _records.Era]:
        """Returns what to append now to a log that was read to its end."""
        if now < self._write_at:
            return []
        records = lost_records(self.known, current)
        if not records and current.era < self._era and now >= self._mark_at:
            records = [_records.Era(era=self._era)]
        if records:
            self._write_at = now + RETRY_S
        return records
