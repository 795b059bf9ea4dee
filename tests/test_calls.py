"""Fold of claims: at most one attempt under a key may run."""

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


def _standing(ledger, attempt: str, fingerprint: str = "f") -> calls.Standing:
    return ledger.standing("t/s", "k", attempt, fingerprint)


def _folded(*records) -> calls.ClaimLedger:
    ledger = calls.ClaimLedger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return ledger


def test_standings():
    a, b = _claim("a"), _claim("b")
    cases = [
        ("first owns", [a, b], "a", calls.Standing.OWNER),
        ("second waits", [a, b], "b", calls.Standing.IN_PROGRESS),
        ("ran", [a, _settle("a", True), b], "b", calls.Standing.DONE),
        ("freed", [a, _settle("a", False), b], "b", calls.Standing.OWNER),
        ("given up first", [_settle("a", False), a], "a", calls.Standing.ENDED),
        ("late claim", [_settle("a", False), a, b], "b", calls.Standing.OWNER),
        ("late duplicate", [a, _settle("a", False), a, b], "b", calls.Standing.OWNER),
        ("foreign settle", [a, _settle("b", False)], "a", calls.Standing.OWNER),
        ("ran stays", [a, _settle("a", True), _settle("a", False), b], "b",
         calls.Standing.DONE),
        ("expired", [a, _claim("b", floor=1)], "b", calls.Standing.OWNER),
    ]  # fmt: skip
    for name, records, attempt, expected in cases:
        check.assertIs(_standing(_folded(*records), attempt), expected, name)


def test_a_key_with_another_request_is_a_mismatch():
    ledger = _folded(_claim("a", "f1"), _claim("b", "f2"))
    check.assertIs(_standing(ledger, "b", "f2"), calls.Standing.MISMATCH)


@attrs.define
class _Steward:
    """A reader of the log that grants what its own fold shows."""

    ledger: calls.ClaimLedger = attrs.field(factory=calls.ClaimLedger)
    read_to: int = 0

    def read(self, stream: list, upto: int) -> None:
        for offset in range(self.read_to, upto):
            self.ledger.apply(offset, stream[offset])
        self.read_to = max(self.read_to, upto)


@attrs.define
class _Attempt:
    name: str
    steward: _Steward
    state: str = "new"


def _race(rng: random.Random, grant) -> int:
    """Runs racing attempts at three stewards; returns how many of them ran."""
    stream: list = []
    late: list = []
    stewards = [_Steward() for _ in range(3)]
    attempts = [_Attempt(f"a{n}", rng.choice(stewards)) for n in range(6)]
    runs = 0
    for _ in range(80):
        if late and rng.random() < 0.4:
            stream.append(late.pop(rng.randrange(len(late))))
        for steward in stewards:
            steward.read(stream, rng.randint(steward.read_to, len(stream)))
        attempt = rng.choice(attempts)
        if attempt.state == "new":
            attempt.state = "claimed"
            late += [_claim(attempt.name)] * rng.choice((1, 1, 2))
        elif attempt.state == "claimed" and rng.random() < 0.2:
            attempt.state = "given up"
            late.append(_settle(attempt.name, False))
        elif attempt.state == "claimed" and grant(attempt):
            attempt.state = "ended"
            runs += 1
            if rng.random() < 0.7:
                late.append(_settle(attempt.name, True))
    return runs


def _by_fold(attempt: _Attempt) -> bool:
    return _standing(attempt.steward.ledger, attempt.name) is calls.Standing.OWNER


def test_racing_claims_run_at_most_once():
    runs = [_race(random.Random(seed), _by_fold) for seed in range(SEEDS)]
    check.assertEqual(max(runs), 1)
    check.assertGreater(sum(runs), SEEDS // 2)


def test_granting_before_the_read_back_would_run_twice():
    def at_once(attempt: _Attempt) -> bool:
        standing = _standing(attempt.steward.ledger, attempt.name)
        return standing in (calls.Standing.OWNER, calls.Standing.ABSENT)

    runs = [_race(random.Random(seed), at_once) for seed in range(SEEDS)]
    check.assertGreater(max(runs), 1)


def test_forgetting_keeps_what_the_log_holds():
    ledger = _folded(_claim("a"), _settle("a", False), _claim("b"))
    ledger.forget_below(1)
    check.assertIs(_standing(ledger, "b"), calls.Standing.OWNER)
    check.assertIs(_standing(ledger, "a"), calls.Standing.ENDED)
    ledger.forget_below(3)
    check.assertEqual(len(ledger), 0)
