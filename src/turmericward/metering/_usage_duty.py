"""The duty to report the usage of each window once, with one body for good."""

import json
from collections.abc import Callable, Mapping

import attrs

from turmericward import duties
from turmericward.metering import _errors, _usage

# After a window's end, counts arrive for this time from a front's domain and others.
SETTLE_S = 1.5
# A domain that has said this after the end of a window has told all of it.
DOMAIN_SETTLE_S = 1.0
# Share of the time to the due date for which a silent domain is waited for.
WAIT_SHARE = 0.6
# No window is appended earlier after its end, as any two fronts see it.
MIN_APPEND_DELAY_S = 1.0
KEPT_REPORTS = 16

Reports = dict[int, Mapping[str, int]]


def encode_journal(reports: Reports) -> bytes:
    """Returns the journal with these reports."""
    rows = [{"window": w, "counts": dict(c)} for w, c in sorted(reports.items())]
    value = {"kind": "duty.usage", "reports": rows}
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def decode_journal(raw: bytes | None) -> Reports:
    """Returns the reports of a journal.

    Raises:
        MalformedJournalError: it isn't one.
    """
    if raw is None:
        return {}
    try:
        rows = json.loads(raw)["reports"]
        return {
            int(row["window"]): {str(k): int(v) for k, v in row["counts"].items()}
            for row in rows
        }
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise _errors.MalformedJournalError(repr(exc)) from exc


@attrs.define
class UsageDuty:
    """Reports one window after the other; implements `duties.JournaledDuty`.

    A report's body is in the journal before it is sent, and never changes after that.
    Windows are journaled in rising order, so one below the newest that isn't there was
    skipped, or is done.
    """

    # Returns the usage of a window, as known now.
    collect: Callable[[int], _usage.Collected]
    window_s: float
    due_s: float
    # Reports in the journal whose outcome isn't final.
    _open: Reports = attrs.field(factory=dict, init=False)
    # Reports that this front has journaled, also in earlier terms and eras.
    _own: Reports = attrs.field(factory=dict, init=False)
    _next: int | None = attrs.field(default=None, init=False)
    # Unix time less monotonic time, as last told.
    _offset: float | None = attrs.field(default=None, init=False)
    # How old and how complete the last collected counts were.
    _inputs: dict[str, object] = attrs.field(factory=dict, init=False)
    _era_began: float = attrs.field(default=float("-inf"), init=False)

    def restore(self, journal: bytes | None, era_began: float, now: float) -> None:
        """Takes over what is in the journal.

        Args:
            journal: the newest journal, None if there is none.
            era_began: when this front first saw the log's era, in monotonic seconds;
                reports journaled before may be missing.
            now: monotonic seconds.
        """
        try:
            reports = decode_journal(journal)
        except _errors.MalformedJournalError:
            # What it held may have been sent.
            reports, era_began = {}, now
        self._open = dict(reports)
        self._next = max(reports) + 1 if reports else None
        self._era_began = era_began

    def took_over(self, now: float, *, first: bool = False) -> None:
        """Begins a term; `restore` says what others have done."""

    def next_call(self, now: float) -> duties.UsageReport | None:
        """Returns the report that is due."""
        unix_s = self._unix_s(now)
        self._open = {w: c for w, c in self._open.items() if unix_s <= self._due_at(w)}
        if self._open:
            window = min(self._open)
            return duties.UsageReport(window=window, counts=self._open[window])
        return self._next_report(now, unix_s)

    def _unix_s(self, now: float) -> float:
        if self._offset is None:
            self._offset = self.collect(0).unix_s - now
        return now + self._offset

    def _end(self, window: int) -> float:
        return (window + 1) * self.window_s

    def _due_at(self, window: int) -> float:
        return self._end(window) + self.due_s

    def _next_report(self, now: float, unix_s: float) -> duties.UsageReport | None:
        window = self._next_window(now, unix_s)
        self._next = window
        end = self._end(window)
        if unix_s < end + SETTLE_S:
            return None
        if window in self._own:
            return duties.UsageReport(window=window, counts=self._own[window])
        collected = self.collect(window)
        self._offset = collected.unix_s - now
        settled = collected.known_until_s >= end + DOMAIN_SETTLE_S
        whole = settled and collected.whole
        self._inputs = {
            "age_s": round(collected.unix_s - end, 3),
            "whole": whole,
            "known_until_s": round(collected.known_until_s - end, 3),
        }
        if not whole and collected.unix_s < end + WAIT_SHARE * self.due_s:
            return None
        return duties.UsageReport(window=window, counts=dict(collected.counts))

    def _next_window(self, now: float, unix_s: float) -> int:
        """Returns the first window that can still be reported in time."""
        oldest = int((unix_s - self.due_s) // self.window_s)
        window = oldest if self._next is None else max(oldest, self._next)
        # Others may have reported earlier ones in an era whose journal is lost.
        era_unix_s = self._era_began + (unix_s - now)
        while (
            self._end(window) + MIN_APPEND_DELAY_S <= era_unix_s
            and window not in self._own
        ):
            window += 1
        return window

    def entry(self, call: duties.UsageReport) -> bytes | None:
        """Returns the journal that has to be stored before the call is sent."""
        if call.window in self._open:
            return None
        return encode_journal({call.window: call.counts, **self._open})

    def record_entry(self, call: duties.UsageReport) -> dict[str, object]:
        """Records that the journal with the call is stored."""
        self._open[call.window] = call.counts
        self._own[call.window] = call.counts
        self._next = call.window + 1
        while len(self._own) > KEPT_REPORTS:
            del self._own[min(self._own)]
        return self._inputs

    def record_outcome(
        self, call: duties.UsageReport, outcome: duties.Outcome, now: float
    ) -> None:
        """Drops a report that was accepted or is rejected for good."""
        final = (duties.Outcome.ACCEPTED, duties.Outcome.REJECTED)
        if outcome in final:
            self._open.pop(call.window, None)
