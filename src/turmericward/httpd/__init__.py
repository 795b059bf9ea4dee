"""HTTP servers that end without cutting a request."""

from turmericward.httpd._server import RECEIVED, Limits, Server

__all__ = ["RECEIVED", "Limits", "Server"]
