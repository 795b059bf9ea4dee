"""HTTP servers with graceful shutdown and limits on clients."""

from turmericward.httpd._heads import Head, Refusal
from turmericward.httpd._server import ClientLimits, Limits, Server
from turmericward.httpd._tasks import RECEIVED_AT_KEY

__all__ = ["RECEIVED_AT_KEY", "ClientLimits", "Head", "Limits", "Refusal", "Server"]
