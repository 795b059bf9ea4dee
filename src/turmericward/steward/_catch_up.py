"""Loop that restores a peer's state when a steward starts during a log outage."""

from absl import logging

from turmericward import configuration, runtime, schema
from turmericward.adapters import errors, steward
from turmericward.steward import _messages

CALL_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 1.0


class CatchUpLoop(runtime.Loop):
    """Requests the seeds' state until the local configuration has caught up."""

    def __init__(self, cfg, configuration_task: runtime.Task) -> None:
        """Creates the loop for the seeds in the settings."""
        super().__init__()
        self._seeds = cfg.steward.seeds
        self._configuration = configuration_task
        self._done = False

    def run_once(self) -> None:
        """Restores the newest state among the seeds', unless the local one is ready."""
        self.pause(RETRY_INTERVAL_S)
        if self._done or self.stopping:
            return
        local = self._configuration.ask(_messages.GetState()).result(CALL_TIMEOUT_S)
        if local.ready:
            self._done = True
            return
        answers = [a for a in map(self._fetch_state, self._seeds) if a is not None]
        if answers:
            self._restore(max(answers, key=lambda a: a.applied))

    def _fetch_state(self, address: str):
        try:
            with steward.open_client(address, CALL_TIMEOUT_S) as client:
                answer = client.state()
        except errors.StewardUnavailableError as exc:
            logging.debug("catch-up: %s", exc)
            return None
        return answer if answer.ready else None

    def _restore(self, answer) -> None:
        try:
            state = schema.loads(answer.snapshot_json, "state")
            configuration.Ledger.restore(state)
        except (ValueError, configuration.MalformedRecordError) as exc:
            logging.warning("catch-up: peer's state is malformed: %s", exc)
            return
        logging.info(
            "catch-up: restoring a peer's state up to offset %d", answer.applied
        )
        self._configuration.post(_messages.Restore(state=state))
