"""Messages with foreign data on which a handler fails."""

from tests import fixtures, test_dispatch
from turmericward import dispatching, fleet, routing

check = fixtures.check


def test_a_message_that_a_handler_fails_on_is_skipped():
    task = test_dispatch._task()
    rejected = []
    task.on_rejected = lambda message, exc: rejected.append((message, exc))
    put = task._placer.cache_index.set_service

    def fail(target: fleet.Target) -> None:
        if target.name == "bad":
            raise ArithmeticError("injected")
        put(target)

    task._placer.cache_index.set_service = fail
    names = ("t1", "bad", "t2")
    targets = tuple(test_dispatch._target(name) for name in names)
    task.handle_posted(dispatching.ReplaceTargets(targets=targets))
    check.assertEqual([str(exc) for _, exc in rejected], ["injected"])
    known = {t.name for t in task._directory.all()}
    check.assertTrue({"t1", "t2"} <= known)
    # A handler that fails on each message ends the task, and so the process.
    message = dispatching.PutTargets(targets=(test_dispatch._target("bad"),))
    with check.assertRaises(ArithmeticError):
        for _ in range(1_000):
            task.handle_posted(message)


def test_the_table_in_force_stays_if_a_later_one_cannot_be_applied():
    applied = []

    def apply(table: routing.RoutingTable) -> None:
        if table.version == 2:
            raise ArithmeticError("injected")
        applied.append(table.version)

    task = test_dispatch._task(on_configured=apply)
    rejected = []
    task.on_rejected = lambda message, exc: rejected.append(message.table.version)
    for version in (1, 2):
        table = routing.RoutingTable(version, ())
        task.handle_posted(dispatching.SetTable(table=table))
    check.assertEqual((applied, rejected, task.table.version), ([1], [2], 1))


def test_other_messages_on_which_a_handler_fails_end_the_task():
    task = test_dispatch._task()
    with check.assertRaises(NotImplementedError):
        task.handle_posted(object())
