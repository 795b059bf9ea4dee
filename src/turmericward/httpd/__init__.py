"""HTTP servers with graceful shutdown and limits on clients."""

from turmericward.httpd._server import RECEIVED_AT_KEY, ClientLimits, Limits, Server

__all__ = ["RECEIVED_AT_KEY", "ClientLimits", "Limits", "Server"]
