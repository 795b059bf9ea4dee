"""Loop by which a steward that starts in an outage takes a peer's state."""

import json

from absl import logging

from turmericward import configuration, runtime
from turmericward.adapters import errors, steward
from turmericward.steward import _messages

CALL_S = 5.0
RETRY_S = 1.0


class CatchUpLoop(runtime.Loop):
    """Asks the seeds for their state until the log has been read."""

    def __init__(self, cfg, configuration_task: runtime.Task) -> None:
        """Creates the loop for the seeds in the settings."""
        super().__init__()
        self._seeds = cfg.steward.seeds
        self._configuration = configuration_task
        self._done = False

    def step(self) -> None:
        """Takes the newest state among the seeds, if there is need."""
        self.pause(RETRY_S)
        if self._done or self.stopping:
            return
        own = self._configuration.ask(_messages.GetState()).result(CALL_S)
        if own.ready:
            self._done = True
            return
        answers = [a for a in map(self._state_of, self._seeds) if a is not None]
        if answers:
            self._offer(max(answers, key=lambda a: a.applied))

    def _state_of(self, address: str):
        try:
            with steward.connected(address, CALL_S) as client:
                answer = client.state()
        except errors.StewardUnavailableError as exc:
            logging.debug("catch-up: %s", exc)
            return None
        return answer if answer.ready else None

    def _offer(self, answer) -> None:
        try:
            state = json.loads(answer.snapshot_json)
            configuration.Ledger.restore(state)
        except (ValueError, configuration.MalformedRecordError) as exc:
            logging.warning("catch-up: peer's state is malformed: %s", exc)
            return
        logging.info("catch-up: state of a peer up to offset %d", answer.applied)
        self._configuration.post(_messages.Restore(state=state))
