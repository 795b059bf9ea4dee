"""HTTP servers with graceful shutdown and limits on clients."""

from turmericward.httpd._server import RECEIVED, ClientLimits, Limits, Server

__all__ = ["RECEIVED", "ClientLimits", "Limits", "Server"]
