"""Loop that polls the instance list and the engines' load reports."""

import time
from concurrent import futures

import attrs
from absl import logging

from turmericward import fleet, runtime
from turmericward.adapters import engine_control, errors, instances
from turmericward.steward import _messages

LOAD_POLL_THREADS = 8
REPORT_LIFETIME_S = 10.0


class FleetLoop(runtime.Loop):
    """Polls the instance list and loads, and posts both when either has changed.

    While the list can't be read, the last one stays in use.
    """

    def __init__(self, cfg) -> None:
        """Creates the loop; set `sinks` before it starts."""
        super().__init__()
        self._cfg = cfg
        self.sinks: list[runtime.Task] = []
        self._list = instances.InstanceListClient(
            cfg.instance_list.address, cfg.instance_list.timeout_s
        )
        self._rows: list[instances.Instance] = []
        self._loads: dict[str, fleet.LoadView] = {}
        self._engines: dict[str, str] = {}
        self._controls: dict[str, engine_control.EngineControl] = {}
        self._executor = futures.ThreadPoolExecutor(
            max_workers=LOAD_POLL_THREADS, thread_name_prefix="load"
        )

    def watch(self, engines: dict[str, str]) -> None:
        """Sets the engines to poll: address by name."""
        self._engines = engines

    def run_once(self) -> None:
        """Polls the list and the loads once, and posts them if they have changed."""
        started = time.monotonic()
        previous = (self._rows, self._loads)
        self._read_list()
        self._read_loads()
        if previous != (self._rows, self._loads):
            message = _messages.FleetRead(instances=self._rows, loads=self._loads)
            for sink in self.sinks:
                sink.post(message)
        elapsed_s = time.monotonic() - started
        self.pause(max(0.0, self._cfg.instance_list.poll_s - elapsed_s))

    def _read_list(self) -> None:
        try:
            self._rows = self._list.read()
        except errors.InstanceListUnavailableError as exc:
            logging.debug("instance list: %s", exc)

    def _read_loads(self) -> None:
        engines = self._engines
        self._update_controls(set(engines.values()))
        reports = {
            name: self._executor.submit(self._controls[addr].load)
            for name, addr in engines.items()
        }
        loads = {}
        for name, fut in reports.items():
            load = self._load_or_last(name, fut)
            if load is not None:
                loads[name] = load
        self._loads = loads

    def _update_controls(self, wanted: set[str]) -> None:
        for address in self._controls.keys() - wanted:
            self._controls.pop(address).close()
        timeout_s = self._cfg.instance_list.timeout_s
        for address in wanted - self._controls.keys():
            self._controls[address] = engine_control.EngineControl(address, timeout_s)

    def _load_or_last(self, name: str, fut: futures.Future) -> fleet.LoadView | None:
        try:
            report = fut.result()
        except errors.AdapterError:
            return self._last_load(name)
        return fleet.LoadView(**attrs.asdict(report), at=time.monotonic())

    def _last_load(self, name: str) -> fleet.LoadView | None:
        last = self._loads.get(name)
        if last is None or time.monotonic() - last.at > REPORT_LIFETIME_S:
            return None
        return last

    def release_resources(self) -> None:
        """Closes the connection to the instance list and shuts the executor down."""
        self._list.close()
        self._executor.shutdown(wait=False)
