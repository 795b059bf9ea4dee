"""Evidence on segments under which engines crash, and what is kept back for it."""

import itertools
import random

from tests import fixtures
from turmericward import requests

check = fixtures.check


def _engine(number: int) -> requests.Incarnation:
    return requests.Incarnation(number, 1)


def _refused(quarantine, segments, now: float, *, rank=0, **options) -> str:
    options = {"retry": False, "prefilled": False} | options
    refusal = quarantine.refusal(
        segments, now, trial_rank=lambda segment: rank, **options
    )
    return "" if refusal is None else refusal.reason


def _barred(quarantine: requests.Quarantine) -> set[int]:
    return set(quarantine.barred())


def test_a_segment_is_barred_after_three_crashes_without_an_answer():
    quarantine = requests.Quarantine()
    for number in range(3):
        check.assertEqual(_refused(quarantine, [1, 2], number), "")
        quarantine.record_answer([1], number - 0.5)
        quarantine.record_crash([1, 2], _engine(number), number)
    check.assertEqual(_refused(quarantine, [1, 2], 3.0), "quarantined")
    check.assertEqual(_refused(quarantine, [1], 3.0, retry=True), "")


def test_crashes_of_one_engine_count_once():
    quarantine = requests.Quarantine()
    for _ in range(6):
        quarantine.record_crash([2], _engine(1), 5.0)
    check.assertEqual(_barred(quarantine), set())


def _crashed(crashes: int) -> requests.Quarantine:
    quarantine = requests.Quarantine()
    for number in range(crashes):
        quarantine.record_crash([2], _engine(number), 5.0 + number)
    return quarantine


def test_an_answer_clears_a_suspect():
    quarantine = _crashed(2)
    quarantine.record_answer([2], 11.0)
    quarantine.record_crash([2], _engine(9), 11.5)
    check.assertEqual(_refused(quarantine, [2], 12.0, retry=True), "")


def test_several_recent_answers_clear_a_barred_segment():
    for crashes in (3, 5):
        quarantine = _crashed(crashes)
        quarantine.record_answer([2], 10.9)
        check.assertEqual(_refused(quarantine, [2], 11.0), "quarantined", crashes)
        quarantine.record_answer([2], 11.0)
        quarantine.record_crash([2], _engine(9), 11.5)
        check.assertEqual(_refused(quarantine, [2], 12.0, retry=True), "", crashes)


def test_answers_long_ago_do_not_help_to_clear_a_barred_segment():
    quarantine = requests.Quarantine()
    for _ in range(50):
        quarantine.record_answer([2], -100.0)
    for number in range(3):
        quarantine.record_crash([2], _engine(number), 5.0 + number)
    quarantine.record_answer([2], 11.0)
    check.assertEqual(_refused(quarantine, [2], 11.1), "quarantined")


def test_one_answer_that_had_begun_before_the_bar_cleared_a_deadly_segment():
    quarantine = _crashed(3)
    quarantine.record_answer([2], 7.2)
    check.assertEqual(_refused(quarantine, [2], 7.3), "quarantined")
    quarantine.record_crash([2], _engine(9), 8.0)
    check.assertEqual(len(quarantine.barred()[2].crashes), 4)


def test_a_prompt_that_is_suspect_is_not_sent_again_after_two_crashes():
    quarantine = requests.Quarantine()
    quarantine.record_crash([2], _engine(1), 5.0)
    check.assertEqual(_refused(quarantine, [2], 5.1, retry=True), "")
    quarantine.record_crash([2], _engine(2), 5.2)
    check.assertEqual(_refused(quarantine, [2], 5.3, retry=True), "suspected")
    check.assertEqual(_refused(quarantine, [2], 5.3), "")


def test_crashes_that_a_barred_segment_explains_do_not_count_against_others():
    quarantine = requests.Quarantine()
    quarantine.record_answer([3], 1.0)
    for number in range(3):
        quarantine.record_crash([3, 2], _engine(number), 5.0 + number / 10)
    check.assertEqual(_barred(quarantine), {2})
    check.assertEqual(_refused(quarantine, [3], 6.0, retry=True), "")
    for number in range(3, 6):
        quarantine.record_crash([3], _engine(number), 20.0 + number)
    check.assertEqual(_barred(quarantine), {2, 3})


def test_a_segment_barred_too_early_hid_the_one_that_crashed_engines():
    # Known late: by then a segment of some of the same prompts is barred.
    quarantine = requests.Quarantine()
    for number in range(3):
        quarantine.record_crash([3], _engine(number), 5.0 + number)
    check.assertEqual(_barred(quarantine), {3})
    for number in range(4):
        quarantine.record_crash([2], _engine(number), 5.0 + number)
    check.assertEqual(_barred(quarantine), {2, 3})


def test_a_bar_ends_with_one_trial_and_each_crash_doubles_it():
    quarantine = requests.Quarantine()
    for number in range(3):
        quarantine.record_crash([2], _engine(number), number - 2.0)
    now = 0.0
    for number, bar_s in ((3, 60.0), (4, 120.0), (5, 240.0), (6, 480.0), (7, 600.0)):
        check.assertEqual(_refused(quarantine, [2], now + bar_s - 0.1), "quarantined")
        now += bar_s + 0.1
        check.assertEqual(_refused(quarantine, [2], now, rank=1), "quarantined")
        check.assertEqual(_refused(quarantine, [2], now), "")
        check.assertEqual(_refused(quarantine, [2], now + 1.0), "quarantined")
        check.assertEqual(_refused(quarantine, [2], now + 1.0, prefilled=True), "")
        lost = _refused(quarantine, [2], now + 1.0, prefilled=True, retry=True)
        check.assertEqual(lost, "quarantined")
        quarantine.record_crash([2], _engine(number), now)
    now += 600.1
    check.assertEqual(_refused(quarantine, [2], now), "")
    quarantine.record_answer([2], now + 0.5)
    check.assertEqual(_refused(quarantine, [2], now + 0.6), "")


def test_reports_in_any_order_lost_or_repeated_lead_to_the_same_bars():
    for seed in range(60):
        source = random.Random(seed)
        fronts = [requests.Quarantine() for _ in range(4)]
        for number in range(3):
            now = 10.0 + number
            fronts[0].record_answer([1], now - 1.0)
            source.choice(fronts).record_crash(
                [1, 2, 30 + number], _engine(number), now
            )
            fronts[1].record_answer([1], now + 0.2)
            _exchange(fronts, source, now + 0.5, rounds=30)
        _exchange(fronts, source, 12.9, rounds=200)
        check.assertEqual([_barred(f) for f in fronts], [{2}] * 4, seed)


def _exchange(fronts, source: random.Random, now: float, *, rounds: int) -> None:
    for number in range(rounds):
        sender, receiver = source.sample(fronts, 2)
        outcomes = list(sender.outcomes(now))
        source.shuffle(outcomes)
        if source.random() < 0.7:
            receiver.apply(outcomes[: source.randint(0, len(outcomes))], now)
        now += number % 2 * 0.001


def test_suspects_are_bounded_and_barred_ones_are_kept():
    quarantine = requests.Quarantine()
    for number in range(3):
        quarantine.record_crash([1], _engine(number), 1.0 + number / 10)
    segments = itertools.count(10)
    for number in range(2_000):
        quarantine.record_crash([next(segments)], _engine(number), 2.0)
    check.assertEqual(_barred(quarantine), {1})
    check.assertLessEqual(len(quarantine._suspects), 300)
    check.assertLessEqual(len(quarantine.outcomes(2.0)), 200)
    for number in range(20_000):
        quarantine.record_answer([number + 10_000], 3.0)
    check.assertLessEqual(len(quarantine._answered), 3_000)


def test_many_barred_requests_kept_the_fronts_from_learning_of_further_ones():
    quarantine, peer = _requests(), _requests()
    for key in range(120):
        _crash_at_once(quarantine, key, first=3 * key)
    quarantine.record_crash([500], _engine(900), 20.0)
    told = quarantine.outcomes(20.1)
    check.assertLessEqual(len(told), 200)
    check.assertIn(500, {row.key for row in told})
    for number in range(40):
        peer.apply(quarantine.outcomes(20.1 + number / 4), 20.1 + number / 4)
    check.assertEqual(_barred(peer), set(range(120)))


def test_old_evidence_is_forgotten():
    quarantine = requests.Quarantine()
    for number in range(2):
        quarantine.record_crash([1], _engine(number), 1.0)
    quarantine.expire(400.0)
    quarantine.record_crash([1], _engine(5), 401.0)
    check.assertEqual(_barred(quarantine), set())


def test_a_request_that_came_every_quarter_of_an_hour_crashed_three_targets_each_time():
    quarantine = _requests()
    _crash_at_once(quarantine, 1)
    quarantine.expire(900.0)
    check.assertEqual(_refused(quarantine, [1], 900.0), "")
    quarantine.record_crash([1], _engine(3), 900.1)
    quarantine.expire(1_300.0)
    check.assertEqual(_refused(quarantine, [1], 1_300.0), "quarantined")


def test_engines_that_end_at_one_moment_do_not_bar_a_segment_before_it_is_certain():
    quarantine = requests.Quarantine()
    for number in range(4):
        quarantine.record_crash([1], _engine(number), 5.0 + number / 100)
    check.assertEqual(_barred(quarantine), set())
    quarantine.record_crash([1], _engine(4), 5.04)
    check.assertEqual(_barred(quarantine), {1})


def test_a_segment_that_was_at_a_few_of_many_crashes_is_not_barred():
    quarantine = requests.Quarantine()
    for number in range(12):
        segment = 1 if number % 4 == 0 else 100 + number
        quarantine.record_crash([segment], _engine(number), number)
    check.assertEqual(_barred(quarantine), set())


def test_a_request_is_tried_less_often_with_each_crash():
    quarantine = _requests()
    _crash_at_once(quarantine, 1)
    now = 5.02
    for number, bar_s in ((3, 60.0), (4, 480.0), (5, 3_840.0), (6, 30_720.0)):
        check.assertEqual(_refused(quarantine, [1], now + bar_s - 0.1), "quarantined")
        now += bar_s + 0.1
        check.assertEqual(_refused(quarantine, [1], now), "")
        check.assertEqual(_refused(quarantine, [1], now + 1.0), "quarantined")
        quarantine.record_crash([1], _engine(number), now)
    check.assertEqual(_refused(quarantine, [1], now + 86_000.0), "quarantined")


def _requests(broader=None) -> requests.Quarantine:
    return requests.Quarantine(requests.EvidenceKind.REQUEST, broader)


def _crash_at_once(quarantine, key: int, *, first=0, at=5.0) -> None:
    for number in range(first, first + 3):
        quarantine.record_crash([key], _engine(number), at + number / 100)


def test_a_request_that_nobody_answers_is_barred_at_the_third_crash_at_one_moment():
    quarantine = _requests()
    for number in range(3):
        check.assertEqual(_refused(quarantine, [1], 5.0 + number / 100), "")
        quarantine.record_crash([1], _engine(number), 5.0 + number / 100)
    check.assertEqual(_refused(quarantine, [1], 5.1), "quarantined")
    check.assertEqual(_refused(quarantine, [2], 5.1), "")


def test_a_request_that_is_answered_elsewhere_is_not_barred_by_crashes_at_one_moment():
    for answered_at, outcome in ((1.0, ""), (-1_000.0, "quarantined")):
        quarantine, peer = _requests(), _requests()
        peer.record_answer([1], answered_at)
        for number in range(1_000 if outcome else 0):
            # The peer doesn't remember all that it has ever answered.
            peer.record_answer([number + 10], 1.0)
        _crash_at_once(quarantine, 1)
        check.assertEqual(_refused(quarantine, [1], 5.1), "quarantined")
        peer.apply(quarantine.outcomes(5.1), 5.1)
        quarantine.apply(peer.outcomes(5.1), 5.1)
        check.assertEqual(_refused(quarantine, [1], 5.2), outcome, answered_at)
        check.assertEqual(_refused(peer, [1], 5.2), outcome, answered_at)


def test_one_answer_lifts_the_bar_of_a_request():
    quarantine = _requests()
    _crash_at_once(quarantine, 1)
    quarantine.record_answer([1], 6.0)
    check.assertEqual(_refused(quarantine, [1], 6.1), "")


def test_crashes_right_after_an_answer_did_not_count_against_a_request():
    quarantine = _requests()
    quarantine.record_answer([1], 4.9)
    for number in range(3):
        quarantine.record_crash([1], _engine(number), 5.0 + number / 10)
    check.assertEqual(_refused(quarantine, [1], 5.3), "quarantined")


def test_a_sound_request_was_refused_as_long_as_those_that_crashed_targets_beside_it():
    quarantine = _requests()
    quarantine.record_answer([9], 1.0)
    for number, keys in enumerate(([1, 9], [2, 9], [1, 9], [2], [1], [2])):
        quarantine.record_crash(keys, _engine(number), 5.0 + number / 10)
    check.assertEqual(_barred(quarantine), {1, 2, 9})
    # Only the crashes under the one were all under others too.
    check.assertEqual(_refused(quarantine, [9], 10.1), "quarantined")
    check.assertEqual(_refused(quarantine, [9], 10.3), "")
    check.assertEqual(_refused(quarantine, [9], 10.4), "quarantined")
    for key in (1, 2):
        check.assertEqual(_refused(quarantine, [key], 65.0), "quarantined")
    quarantine.record_answer([9], 10.5)
    check.assertEqual(_refused(quarantine, [9], 10.6), "")


def test_requests_that_crash_targets_together_are_tried_early_only_if_answered_once():
    for answered in (False, True):
        quarantine = _requests()
        if answered:
            quarantine.record_answer([1, 2], 1.0)
        for number in range(3):
            quarantine.record_crash([1, 2], _engine(number), 5.0 + number)
        check.assertEqual(_barred(quarantine), {1} if answered else {1, 2})
        check.assertEqual(_refused(quarantine, [1], 13.0), "quarantined")
    # The other one is free until it crashes targets without the first.
    for number in range(3, 6):
        quarantine.record_crash([2], _engine(number), 14.0 + number)
    check.assertEqual(_barred(quarantine), {1, 2})
    check.assertEqual(_refused(quarantine, [2], 30.0), "quarantined")


def test_a_request_stayed_barred_when_a_segment_explained_its_crashes():
    segments = requests.Quarantine()
    quarantine = _requests(broader=segments)
    for number in range(3):
        quarantine.record_crash([1, 2], _engine(number), 5.0 + number)
        segments.record_crash([7], _engine(number), 5.0 + number)
    quarantine.record_crash([2], _engine(3), 8.0)
    check.assertEqual(_barred(segments), {7})
    check.assertEqual(_refused(quarantine, [1], 8.1), "")
    for number in range(4, 6):
        quarantine.record_crash([2], _engine(number), 5.0 + number)
    check.assertEqual(_barred(quarantine), {2})


def test_of_two_requests_that_crash_targets_together_both_are_barred():
    quarantine = _requests()
    for number in range(3):
        quarantine.record_crash([1, 2], _engine(number), 5.0 + number)
    check.assertEqual(_barred(quarantine), {1, 2})


def test_crashes_that_a_barred_segment_explains_do_not_count_against_requests():
    segments = requests.Quarantine()
    quarantine = _requests(broader=segments)
    for number in range(3):
        segments.record_crash([7], _engine(number), 5.0 + number)
        quarantine.record_crash([1], _engine(number), 5.0 + number)
    check.assertEqual((_barred(segments), _barred(quarantine)), ({7}, set()))
    _crash_at_once(quarantine, 1, first=3, at=20.0)
    check.assertEqual(_barred(quarantine), {1})


def test_requests_that_were_answered_are_remembered_within_bounds():
    quarantine = _requests()
    for number in range(5_000):
        quarantine.record_answer([number], 3.0)
    check.assertLessEqual(len(quarantine._answered), 1_000)
