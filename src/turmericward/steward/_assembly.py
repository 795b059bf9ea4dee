"""Creates and runs the tasks of a steward process."""

import threading
import time

from absl import logging

from turmericward import positions, runtime
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

# Time in which a stopped steward has ended. What waits longest is a change of an
# engine that places a hold and sends an order, and a proposal that is read back.
STOP_S = 14.0
LOOPS_STOP_TIMEOUT_S = 1.0
RESIGN_DELAY_S = 0.5


class StewardProcess:
    """One steward: its tasks, their connections and their start and stop order."""

    def __init__(self, cfg) -> None:
        """Creates all tasks and binds the listening socket."""
        self._eras = positions.Eras()
        appender = _log_tasks.Appender(cfg.log, self._eras)
        self._authority = _authority_task.AuthorityTask(cfg, appender, self._eras)
        calls = _calls_task.CallsTask(cfg, appender)
        fleet = _fleet_task.FleetLoop(cfg)
        self._configuration = _configuration_task.ConfigurationTask(
            cfg, appender, self._authority, fleet
        )
        fleet.sinks = [self._configuration, self._authority]
        handler = _handler.Handler(self._configuration, calls, self._authority)
        address = f"{cfg.instance.address}:{cfg.steward.port}"
        loops = [
            fleet,
            _catch_up.CatchUpLoop(cfg, self._configuration),
            *self._followers(cfg, calls),
        ]
        self._changes = _change_loop.ChangeLoop(cfg, self._authority)
        self._server = steward_adapter.StewardServer(address, handler)
        self._drain = runtime.Drain(STOP_S)
        # Stopped in reverse: each group sends messages to those before it.
        tasks = [self._authority, calls, self._configuration]
        self._appender_group = runtime.Group([appender], "steward-append")
        self._task_group = runtime.Group(tasks, "steward")
        self._loop_group = runtime.Group(loops, "steward-loop")
        self._change_group = runtime.Group([self._changes], "steward-change")
        self._server_group = runtime.Group([self._server], "steward-server")

    def _followers(self, cfg, calls) -> list[_log_tasks.Follower]:
        sinks = {
            _configuration_task.CONFIG_STREAM: self._configuration,
            _authority_task.stream_name(cfg.instance.domain): self._authority,
            _calls_task.CALLS_STREAM: calls,
        }
        return [
            _log_tasks.Follower(cfg.log, name, sink, self._eras)
            for name, sink in sinks.items()
        ]

    def run(self, stop: threading.Event) -> None:
        """Runs until `stop` is set, then answers open calls and stops the tasks."""
        for group in (
            self._appender_group,
            self._task_group,
            self._loop_group,
            self._change_group,
            self._server_group,
        ):
            group.start()
        stop.wait()
        self._drain.begin()
        logging.info("steward stops")
        self._stop()
        logging.info("steward has stopped after %.1f s", self._drain.elapsed_s)

    def _stop(self) -> None:
        self._server.stop()
        self._configuration.post(_messages.EndPolls())
        self._change_group.stop(self._remaining_s())
        self._resign()
        self._server_group.stop(self._remaining_s())
        self._loop_group.stop(LOOPS_STOP_TIMEOUT_S)
        self._task_group.stop(self._remaining_s())
        self._appender_group.stop(self._remaining_s())

    def _remaining_s(self) -> float:
        return max(0.0, self._drain.deadline - runtime.now())

    def _resign(self) -> None:
        # The next holder would take an order in transit for one that was never sent.
        # It doesn't act before the lease's term is over, nor does the order arrive
        # after that.
        if not self._change_group.stopped or self._changes.order_in_transit:
            logging.info("the lease is kept to its term: an order may be in transit")
            return
        self._authority.post(_messages.Resign())
        time.sleep(min(RESIGN_DELAY_S, self._remaining_s()))
