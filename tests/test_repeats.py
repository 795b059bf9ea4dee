"""Each kind of arrival beyond the first of a call is paid for before it is sent."""

from tests import fixtures, test_delivery, test_dispatch, test_late_attempts
from turmericward import dispatching
from turmericward.adapters import errors

check = fixtures.check
WHOLE = test_late_attempts.WHOLE
MANY = 600.0


class _Transport(test_late_attempts._Transport):
    """Counts what arrives at targets, as the bound on repeats does."""

    def __init__(self, sends, prefills) -> None:
        super().__init__(
            *(_attempt(s) for s in sends), prefills=map(_attempt, prefills)
        )
        self.arrivals = 0
        self.accepted_prefills = 0

    def send(self, target, call, dispatch):
        self.arrivals += 1
        try:
            return super().send(target, call, dispatch)
        except errors.NotSentError:
            self.arrivals -= 1
            raise

    def prefill(self, target, call, dispatch):
        self.arrivals += 1
        try:
            handle = super().prefill(target, call, dispatch)
        except errors.NotSentError:
            self.arrivals -= 1
            raise
        self.accepted_prefills += 1
        return handle

    @property
    def repeats(self) -> int:
        """Arrivals beyond the first, and beyond the first accepted prefill."""
        return max(0, self.arrivals - 1 - (self.accepted_prefills > 0))


REFUSED = {"kind": "refused", "steps": ("head",)}
ERROR = {"kind": "error", "steps": ("head",)}
FOREIGN = {"kind": "foreign", "steps": ("head",)}
FULL = {"steps": (errors.NotExecutedError("full"),)}
LOST = {"steps": (test_delivery.FAULTS["lost"],)}
CLOSED = {"steps": (test_delivery.FAULTS["closed"],)}
NOT_SENT = {"steps": (test_delivery.FAULTS["not sent"],)}
SILENT = {"steps": (errors.ConnectTimeoutError("timed out"),)}
STREAM = {"steps": ("head", *WHOLE)}
BROKEN = {"steps": ("head", 1, 2, test_delivery.FAULTS["closed"])}
REST = {"steps": ("head", 3, 4)}
PREFILLED = {"steps": ("head",)}
LATE_PREFILL = {"steps": ("late", "head")}
LATE_HEAD = {"steps": ("late", "head", *WHOLE)}
LATE_REST = {"steps": ("head", 1, 2, "late", 3, 4)}
NOT_NEEDED = {"steps": (errors.RivalAnsweredError("first goes on"),)}


def _attempt(spec) -> test_late_attempts._Attempt:
    spec = dict(spec)
    return test_late_attempts._Attempt(*spec.pop("steps"), **spec)


# What happens; attempts, prefills; repeats that arrive, and those that are paid for. A
# rejection is a 421, or a 503 of a target that is full, leaves or has lost a handle.
PLAIN_ROWS = (
    ("no fault", [STREAM], 0, 0),
    ("rejected", [REFUSED, STREAM], 1, 1),
    ("rejected twice", [REFUSED, REFUSED, STREAM], 2, 2),
    ("answered with an error", [ERROR, STREAM], 1, 1),
    ("answered by another", [FOREIGN, STREAM], 1, 1),
    ("lost after it was sent", [LOST, STREAM], 1, 1),
    ("lost with its target", [CLOSED, STREAM], 1, 1),
    ("not sent", [NOT_SENT, STREAM], 0, 0),
    ("no connection in time", [SILENT, STREAM], 0, 0),
    ("rejected, then not sent", [REFUSED, NOT_SENT, STREAM], 1, 1),
    ("stream resumed", [BROKEN, REST], 1, 1),
    ("resumption rejected", [BROKEN, REFUSED, REST], 2, 2),
    ("resumption not sent", [BROKEN, NOT_SENT, REST], 1, 1),
    ("second beside a silent target", [LATE_HEAD, STREAM], 1, 1),
    ("second beside a silent stream", [LATE_REST, REST], 1, 1),
    ("second rejected", [LATE_REST, REFUSED], 1, 1),
    ("second failed", [LATE_REST, ERROR], 1, 1),
    ("second not sent", [LATE_REST, NOT_SENT], 0, 0),
    ("second not needed", [LATE_REST, NOT_NEEDED], 1, 1),
)
# With a prefill elsewhere, whose first accepted one is no repeat; what follows a failed
# one costs one more than what counts.
STAGED_ROWS = (
    ("no fault", [STREAM], [PREFILLED], 0, 0),
    ("prefill rejected", [STREAM], [FULL, PREFILLED], 1, 2),
    ("prefill lost", [STREAM], [LOST, PREFILLED], 1, 2),
    ("prefill not sent", [STREAM], [NOT_SENT, PREFILLED], 0, 0),
    ("prefill late", [STREAM], [LATE_PREFILL, PREFILLED], 1, 2),
    ("handle gone", [REFUSED, STREAM], [PREFILLED, PREFILLED], 2, 2),
    ("hand-over not sent", [NOT_SENT, STREAM], [PREFILLED], 0, 0),
    ("hand-over lost", [LOST, STREAM], [PREFILLED, PREFILLED], 2, 2),
    ("hand-over late", [LATE_HEAD, STREAM], [PREFILLED, PREFILLED], 2, 2),
)


def _deliver(sends, prefills, slack: float):
    transport = _Transport(sends, prefills)
    targets = test_delivery._targets() if prefills else test_late_attempts._engines()
    _, dispatcher = test_late_attempts._run(
        transport, targets=targets, slack=slack, max_attempts=4
    )
    return transport, _saved(dispatcher._task)


def _saved(task) -> float:
    return task._budgets.for_service("model").saved


def test_arrivals_beyond_the_first_were_not_paid_for():
    bounds = dispatching.RetryBounds(share=0.0, slack=MANY)
    saved = _saved(test_dispatch._task(retries=bounds))
    rows = [(n, s, [], c, p) for n, s, c, p in PLAIN_ROWS] + list(STAGED_ROWS)
    for name, sends, prefills, repeats, paid in rows:
        transport, left = _deliver(sends, prefills, MANY)
        counted = (transport.repeats, saved - left)
        check.assertEqual(counted, (repeats, paid), name)


def test_a_call_was_repeated_though_no_retry_was_left():
    rows = [(n, s, []) for n, s, _, _ in PLAIN_ROWS]
    rows += [(n, s, p) for n, s, p, _, _ in STAGED_ROWS]
    for name, sends, prefills in rows:
        transport, _ = _deliver(sends, prefills, 0.0)
        check.assertEqual(transport.repeats, 0, name)
