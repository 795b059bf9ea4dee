"""Delivery of one call: attempts at targets, streams and replies."""

from turmericward.delivery._context import Context, Dispatcher, Transport
from turmericward.delivery._delivery import Delivery
from turmericward.delivery._errors import DeliveryError, StreamBrokenError
from turmericward.delivery._open_calls import OpenCalls

__all__ = [
    "Context",
    "Delivery",
    "DeliveryError",
    "Dispatcher",
    "OpenCalls",
    "StreamBrokenError",
    "Transport",
]
