"""HTTP servers that end without cutting a request."""

from turmericward.httpd._server import RECEIVED, ClientLimits, Limits, Server

__all__ = ["RECEIVED", "ClientLimits", "Limits", "Server"]
