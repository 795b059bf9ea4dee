"""A late run is played again only if waits for a processor explain it."""

import threading

from tests import fixtures, processor_waits

check = fixtures.check


def _runs(*runs: tuple[float, float]):
    """Returns a play of runs, each a time and a wait, and those not yet played."""
    left = list(runs)

    def play():
        time_s, waited_s = left.pop(0)
        watch = processor_waits.Stopwatch()
        watch._own_s = waited_s
        return watch, [time_s]

    return play, left


def test_a_late_run_that_no_wait_explains_fails_at_once():
    for run in ((1.7, 0.0), (1.75, 0.1), (2.5, 0.8)):
        play, left = _runs(run, (1.0, 0.0))
        with check.assertRaises(AssertionError):
            processor_waits.check_times(play, [1.6], "x")
        check.assertEqual(len(left), 1)


def test_a_late_run_that_waits_explain_is_played_again():
    play, left = _runs((1.7, 0.3), (1.5, 0.0))
    processor_waits.check_times(play, [1.6], "x")
    check.assertEqual(left, [])


def test_runs_that_are_all_late_fail():
    play, _ = _runs(*[(1.7, 0.3)] * processor_waits.MAX_RUNS)
    with check.assertRaises(AssertionError):
        processor_waits.check_times(play, [1.6], "x")


def test_a_stopwatch_adds_the_waits_of_all_threads():
    watch = processor_waits.Stopwatch()
    threads = [threading.Thread(target=watch.note) for _ in range(2)]
    for thread in threads:
        thread.start()
        thread.join()
    watch.stop()
    check.assertGreaterEqual(watch.waited_s, 0.0)
    check.assertGreater(watch.took_s, 0.0)
