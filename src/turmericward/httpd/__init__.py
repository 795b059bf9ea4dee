"""HTTP servers with graceful shutdown and limits on clients."""

from turmericward.httpd._channel import RECEIVED_AT_KEY
from turmericward.httpd._heads import Head, Refusal
from turmericward.httpd._server import ClientLimits, Limits, Server

__all__ = ["RECEIVED_AT_KEY", "ClientLimits", "Head", "Limits", "Refusal", "Server"]
