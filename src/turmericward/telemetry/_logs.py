"""Logs through absl, one JSON object a line."""

import logging as std_logging
import os

import attrs
from absl import flags, logging
from pythonjsonlogger import json as json_logger

PLAIN_ENV = "TURMERICWARD_PLAIN_LOGS"
_QUIET = ("thrift.transport.TSocket", "thrift.server.TServer", "waitress.queue")
_FIELDS = "%(asctime)s %(levelname)s %(message)s"
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logs(program: str, instance: str, level: str) -> None:
    """Sends logs to standard error as JSON, plain if the environment asks so.

    Args:
        program: name of the program, a field of each line.
        instance: name of the instance, a field of each line.
        level: `debug`, `info`, `warning` or `error`.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    # The adapters report each failure of the library in their own words.
    for name in _QUIET:
        std_logging.getLogger(name).setLevel(std_logging.CRITICAL)
    if os.environ.get(PLAIN_ENV):
        return
    formatter = json_logger.JsonFormatter(
        _FIELDS,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"program": program, "instance": instance},
    )
    logging.get_absl_handler().setFormatter(formatter)


def log_request(fields: object) -> None:
    """Logs the end of a request; `fields` is an attrs instance."""
    logging.get_absl_logger().info("request", extra=attrs.asdict(fields))


def log_event(event: str, **fields: object) -> None:
    """Logs one structured event at `info`."""
    logging.get_absl_logger().info(event, extra=fields)
