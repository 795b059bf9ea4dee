"""Responses to requests, written by worker threads."""

from waitress import task, utilities

RECEIVED_AT_KEY = "turmericward.received"
# Other instances may take the request at once.
REFUSAL_RETRY_AFTER_S = 0.5


class RequestTimeoutError(utilities.Error):
    """Response to a request that isn't complete when the server stops."""

    code = 408
    reason = "Request Timeout"


class Task(task.WSGITask):
    """Closes the connection after the last response while the server stops."""

    def get_environment(self) -> dict:
        """Adds the time of the request's last byte."""
        environ = super().get_environment()
        environ[RECEIVED_AT_KEY] = self.request.received_at
        return environ

    def build_response_header(self) -> bytes:
        """Announces the close if no further response follows."""
        if self.channel.mark_last_response():
            self.request.headers["CONNECTION"] = "close"
        header = super().build_response_header()
        has_length = any(n == "Content-Length" for n, _ in self.response_headers)
        if not has_length:
            self.channel.bound_send_buffer()
        self.channel.response_is_whole = False
        self.channel.close_ends_response = self.has_body and not (
            self.chunked_response or has_length
        )
        return header

    def finish(self) -> None:
        """Completes the response."""
        super().finish()
        self.channel.response_is_whole = True


class RefusalTask(Task):
    """Answers that the request wasn't run, without the application."""

    # waitress writes no response that isn't.
    complete = True

    def execute(self) -> None:
        """Writes the response."""
        self.status = "503 Service Unavailable"
        self.response_headers = [
            ("Content-Length", "0"),
            ("Retry-After", f"{REFUSAL_RETRY_AFTER_S:.2f}"),
        ]
        self.content_length = 0
        self.write(b"")
