"""Claims of keyed calls: at most one attempt under a key may run."""

import random

import attrs

from tests import fixtures
from turmericward import calls

check = fixtures.check
SEEDS = 3000


def _claim(attempt: str, fingerprint: str = "f", floor: int = 0) -> calls.Claim:
    return calls.Claim(
        id=attempt, scope="t/s", key="k", fingerprint=fingerprint, floor=floor
    )


def _settle(attempt: str, ran: bool) -> calls.Settle:
    answer = calls.Answer(status=200, content_type="x", body="", truncated=False)
    return calls.Settle(
        id=attempt, scope="t/s", key="k", ran=ran, answer=answer if ran else None
    )


def _attempt_status(
    ledger, attempt: str, fingerprint: str = "f"
) -> calls.AttemptStatus:
    return ledger.attempt_status("t/s", "k", attempt, fingerprint)


def _replayed(*records) -> calls.ClaimLedger:
    ledger = calls.ClaimLedger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return ledger


def test_attempt_status_follows_from_the_order_of_records():
    a, b = _claim("a"), _claim("b")
    cases = [
        ("first owns", [a, b], "a", calls.AttemptStatus.OWNER),
        ("second waits", [a, b], "b", calls.AttemptStatus.IN_PROGRESS),
        ("ran", [a, _settle("a", True), b], "b", calls.AttemptStatus.DONE),
        ("freed", [a, _settle("a", False), b], "b", calls.AttemptStatus.OWNER),
        ("ended before its claim", [_settle("a", False), a], "a",
         calls.AttemptStatus.ENDED),
        ("late claim", [_settle("a", False), a, b], "b", calls.AttemptStatus.OWNER),
        ("late duplicate", [a, _settle("a", False), a, b], "b",
         calls.AttemptStatus.OWNER),
        ("foreign settle", [a, _settle("b", False)], "a", calls.AttemptStatus.OWNER),
        ("run is final", [a, _settle("a", True), _settle("a", False), b], "b",
         calls.AttemptStatus.DONE),
        ("expired", [a, _claim("b", floor=1)], "b", calls.AttemptStatus.OWNER),
    ]  # fmt: skip
    for name, records, attempt, expected in cases:
        check.assertIs(_attempt_status(_replayed(*records), attempt), expected, name)


def test_key_reused_with_another_request_is_a_mismatch():
    ledger = _replayed(_claim("a", "f1"), _claim("b", "f2"))
    check.assertIs(_attempt_status(ledger, "b", "f2"), calls.AttemptStatus.MISMATCH)


@attrs.define
class _Steward:
    """Reads the log and grants attempts by its local ledger."""

    ledger: calls.ClaimLedger = attrs.field(factory=calls.ClaimLedger)
    next_offset: int = 0

    def read(self, stream: list, end: int) -> None:
        for offset in range(self.next_offset, end):
            self.ledger.apply(offset, stream[offset])
        self.next_offset = max(self.next_offset, end)


@attrs.define
class _Attempt:
    name: str
    steward: _Steward
    state: str = "new"


def _race(rng: random.Random, grant) -> int:
    """Runs racing attempts at three stewards; returns how many of them ran."""
    stream: list = []
    in_transit: list = []
    stewards = [_Steward() for _ in range(3)]
    attempts = [_Attempt(f"a{n}", rng.choice(stewards)) for n in range(6)]
    runs = 0
    for _ in range(80):
        if in_transit and rng.random() < 0.4:
            stream.append(in_transit.pop(rng.randrange(len(in_transit))))
        for steward in stewards:
            steward.read(stream, rng.randint(steward.next_offset, len(stream)))
        attempt = rng.choice(attempts)
        if attempt.state == "new":
            attempt.state = "claimed"
            in_transit += [_claim(attempt.name)] * rng.choice((1, 1, 2))
        elif attempt.state == "claimed" and rng.random() < 0.2:
            attempt.state = "abandoned"
            in_transit.append(_settle(attempt.name, False))
        elif attempt.state == "claimed" and grant(attempt):
            attempt.state = "ended"
            runs += 1
            if rng.random() < 0.7:
                in_transit.append(_settle(attempt.name, True))
    return runs


def _grant_to_owner(attempt: _Attempt) -> bool:
    return (
        _attempt_status(attempt.steward.ledger, attempt.name)
        is calls.AttemptStatus.OWNER
    )


def test_racing_claims_run_at_most_once():
    runs = [_race(random.Random(seed), _grant_to_owner) for seed in range(SEEDS)]
    check.assertEqual(max(runs), 1)
    check.assertGreater(sum(runs), SEEDS // 2)


def test_granting_before_reading_back_the_claim_runs_twice():
    def grant_immediately(attempt: _Attempt) -> bool:
        attempt_status = _attempt_status(attempt.steward.ledger, attempt.name)
        return attempt_status in (calls.AttemptStatus.OWNER, calls.AttemptStatus.ABSENT)

    runs = [_race(random.Random(seed), grant_immediately) for seed in range(SEEDS)]
    check.assertGreater(max(runs), 1)


def test_discarding_keeps_entries_still_in_the_log():
    ledger = _replayed(_claim("a"), _settle("a", False), _claim("b"))
    ledger.discard_below(1)
    check.assertIs(_attempt_status(ledger, "b"), calls.AttemptStatus.OWNER)
    check.assertIs(_attempt_status(ledger, "a"), calls.AttemptStatus.ENDED)
    ledger.discard_below(3)
    check.assertEqual(len(ledger), 0)
