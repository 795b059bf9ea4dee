"""Delivery of one call: attempts at targets, streams and replies."""

from turmericward.delivery._context import Context, Dispatcher, Transport
from turmericward.delivery._delivery import Delivery
from turmericward.delivery._errors import DeliveryError, StreamBrokenError

__all__ = [
    "Context",
    "Delivery",
    "DeliveryError",
    "Dispatcher",
    "StreamBrokenError",
    "Transport",
]
