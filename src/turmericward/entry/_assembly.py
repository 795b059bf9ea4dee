"""Wires the tasks of an entry process together and runs them."""

import threading

from absl import logging

from turmericward import httpd, runtime, telemetry
from turmericward.adapters import _address
from turmericward.entry import (
    _app,
    _context,
    _follow_loop,
    _mirror,
    _router_task,
)

STOP_TIMEOUT_S = 5.0


class EntryProcess:
    """One entry process, the `index`-th of its instance."""

    def __init__(self, cfg, index: int) -> None:
        """Creates the tasks and binds the listening socket."""
        name = f"{cfg.instance.name}-{index}"
        mirror = _mirror.Mirror()
        router = _router_task.RouterTask(cfg, seed=index)
        follow = _follow_loop.FollowLoop(cfg, name, mirror, router)
        statsd = None
        prefix = ""
        if cfg.statsd is not None:
            statsd = _address.split(cfg.statsd.address)
            prefix = f"{cfg.statsd.prefix}.{name}"
        drain = runtime.Drain(cfg.entry.drain_s, lag_s=cfg.entry.balancer_lag_s)
        self._ctx = _context.Context(
            cfg=cfg,
            name=name,
            mirror=mirror,
            router=router,
            follow=follow,
            metrics=telemetry.Metrics(statsd, prefix),
            thread_limiter=_context.ThreadLimiter(
                cfg.entry.threads, cfg.entry.urgent_reserve
            ),
            drain=drain,
        )
        self._group = runtime.Group([router, follow], "entry")
        address = (cfg.instance.address, cfg.entry.ports[index])
        limits = httpd.Limits(
            threads=cfg.entry.threads,
            max_body_bytes=cfg.entry.max_body_bytes,
        )
        self._server = httpd.Server(_app.App(self._ctx), address, limits, drain)

    def run(self, stop: threading.Event) -> None:
        """Serves until `stop` is set, then drains and returns."""
        self._group.start()
        try:
            self._server.run(stop, self._start_draining)
        finally:
            self._ctx.open_calls.log()
            self._group.stop(min(STOP_TIMEOUT_S, self._ctx.drain.until_end_s))

    def _start_draining(self) -> None:
        logging.info("entry %s is draining", self._ctx.name)
        self._ctx.draining.set()
