"""The placement of a call's current attempt, as reported to the dispatcher."""

from turmericward import dispatching, requests, runtime
from turmericward.delivery import _context, _record


class OpenPlacement:
    """Reports first output and end of one placement after the other.

    A stream takes its placement over while it is relayed, and gives it back to be
    ended.
    """

    def __init__(
        self,
        dispatch: _context.Dispatcher,
        record: _record.CallRecord,
        prompt: requests.Prompt | requests.Demand | None,
        workspace: str = "",
        *,
        streamed: bool = False,
    ) -> None:
        """Starts without a placement.

        Args:
            dispatch: gets the reports.
            record: log lines of the call.
            prompt: the call's prompt, if it has one.
            workspace: the call's workspace, if it has one.
            streamed: whether the answer is a stream, which runs from its first event
                on; other calls run from when they are sent.
        """
        self._dispatch = dispatch
        self._record = record
        self._prompt = prompt
        self._workspace = workspace
        self._streamed = streamed
        self._sent_at = 0.0
        # When the current attempt had its first output of the answer.
        self._writing_since: float | None = None
        self.placement: requests.Placement | None = None
        # The placement of the current attempt, also while a stream has it.
        self.current: requests.Placement | None = None

    def begin(self, placement: requests.Placement) -> None:
        """Logs a new placement and makes it the current one."""
        self.placement = self.current = placement
        self._writing_since = None
        self._record.log_placement(placement)

    def mark_sent(self) -> None:
        """Records that the attempt is sent now."""
        self._sent_at = runtime.now()

    def record_first_output(self) -> None:
        """Reports the first token, the end of a prefill, or a complete answer."""
        if not self.placement.prefill_only:
            self._writing_since = runtime.now()
        took_s = runtime.now() - self._sent_at
        self._record.log_first_output(self.placement, took_s)
        runs = not self.placement.prefill_only
        self._report_first_output(took_s, self._workspace if runs else "")

    def record_output(self) -> None:
        """Records output of a stream, which is its first if it was resumed."""
        if self._writing_since is None:
            self._writing_since = runtime.now()
            self._report_first_output(runtime.now() - self._sent_at)

    def _report_first_output(self, took_s: float, workspace: str = "") -> None:
        self._dispatch.post(
            dispatching.FirstOutput(
                placement=self.current,
                prompt=self._prompt,
                took_s=took_s,
                workspace=workspace,
                began_at=self._sent_at + (took_s if self._streamed else 0.0),
            )
        )

    def hand_over(self) -> requests.Placement:
        """Returns the placement to the stream that will give it back."""
        placement, self.placement = self.placement, None
        return placement

    def resume(self, placement: requests.Placement) -> None:
        """Takes a placement back from a stream."""
        self.placement = self.current = placement

    def take_over(self, other: "OpenPlacement") -> None:
        """Makes another attempt the current one, after the end of this one."""
        self.placement = self.current = other.placement
        self._sent_at = other._sent_at
        self._writing_since = other._writing_since
        other.placement = None

    def end(
        self,
        ending: requests.Ending,
        *,
        answered: bool = False,
        streamed: bool = False,
        connection_lost: bool = False,
    ) -> None:
        """Reports the end of the placement, if there is one."""
        placement, self.placement = self.placement, None
        if placement is None:
            return
        since = self._writing_since
        self._dispatch.post(
            dispatching.PlacementEnded(
                placement=placement,
                prompt=self._prompt,
                ending=ending,
                writing_s=0.0 if since is None else runtime.now() - since,
                answered=answered,
                streamed=streamed,
                connection_lost=connection_lost,
            )
        )
