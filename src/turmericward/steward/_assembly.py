"""Creates and runs the tasks of a steward process."""

import threading
import time

from turmericward import runtime
from turmericward.adapters import steward as steward_adapter
from turmericward.steward import (
    _authority_task,
    _calls_task,
    _catch_up,
    _change_loop,
    _configuration_task,
    _fleet_task,
    _handler,
    _log_tasks,
    _messages,
)

STOP_TIMEOUT_S = 10.0
RESIGN_DELAY_S = 0.5


class StewardProcess:
    """One steward: its tasks, their connections and their start and stop order."""

    def __init__(self, cfg) -> None:
        """Creates all tasks and binds the listening socket."""
        appender = _log_tasks.Appender(cfg.log)
        self._authority = _authority_task.AuthorityTask(cfg, appender)
        calls = _calls_task.CallsTask(cfg, appender)
        fleet = _fleet_task.FleetLoop(cfg)
        configuration = _configuration_task.ConfigurationTask(
            cfg, appender, self._authority, fleet
        )
        fleet.sinks = [configuration, self._authority]
        handler = _handler.Handler(configuration, calls, self._authority)
        address = f"{cfg.instance.address}:{cfg.steward.port}"
        authority_stream = _authority_task.stream_name(cfg.instance.domain)
        tasks = [
            appender,
            self._authority,
            calls,
            configuration,
            fleet,
            _catch_up.CatchUpLoop(cfg, configuration),
            _change_loop.ChangeLoop(cfg, self._authority),
            _log_tasks.Follower(
                cfg.log, _configuration_task.CONFIG_STREAM, configuration
            ),
            _log_tasks.Follower(cfg.log, authority_stream, self._authority),
            _log_tasks.Follower(cfg.log, _calls_task.CALLS_STREAM, calls),
            steward_adapter.StewardServer(address, handler),
        ]
        self._group = runtime.Group(tasks, "steward")

    def run(self, stop: threading.Event) -> None:
        """Runs until `stop` is set, then releases the lease and stops the tasks."""
        self._group.start()
        stop.wait()
        self._authority.post(_messages.Resign())
        time.sleep(RESIGN_DELAY_S)
        self._group.stop(STOP_TIMEOUT_S)
