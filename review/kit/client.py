"""A client that reads answers as the protocol says and keeps what it got."""

import http.client
import time
import uuid

import attrs

from kit import fleet


@attrs.frozen(kw_only=True)
class Answer:
    """What a client got: `whole` if the answer ended as it declared."""

    id: str
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    took_s: float
    error: str = ""


def call(
    deployment: fleet.Fleet,
    front: fleet.Front,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    deadline_s: float = 3.0,
    headers: dict[str, str] | None = None,
    most: int = 4_000_000,
) -> Answer:
    """Sends one client attempt on a new channel and reads its answer.

    Args:
        deployment: has the record.
        front: the front that it goes to.
        method: method of the request.
        target: its path.
        body: its body.
        deadline_s: how long the client waits.
        headers: further headers.
        most: bytes of a body after which the client stops to read.
    """
    attempt = uuid.uuid4().hex[:16]
    sent = {
        "Host": fleet.HOST,
        "Turmericward-Attempt-Id": attempt,
        "Turmericward-Deadline-Ms": str(int(deadline_s * 1000)),
    } | (headers or {})
    record = deployment.record
    record.add("sent", id=attempt, front=front.name, target=target)
    began = time.monotonic()
    status, answered, received, error, whole = 0, {}, b"", "", False
    conn = http.client.HTTPConnection(*front.address, timeout=deadline_s)
    try:
        conn.request(method, target, body or None, sent)
        resp = conn.getresponse()
        status = resp.status
        answered = {k.lower(): v for k, v in resp.getheaders()}
        while time.monotonic() - began < deadline_s and len(received) < most:
            data = resp.read1(65536)
            if not data:
                whole = True
                break
            received += data
        if resp.length:
            whole, error = False, "ended early"
    except (OSError, http.client.HTTPException, ValueError) as exc:
        error = repr(exc)
    finally:
        conn.close()
    answer = Answer(
        id=attempt,
        status=status,
        headers=answered,
        body=received,
        whole=whole,
        took_s=time.monotonic() - began,
        error=error,
    )
    record.add(
        "answered",
        id=attempt,
        status=status,
        whole=whole,
        took_s=round(answer.took_s, 3),
        bytes=len(received),
        body=received[:100],
        error=error,
    )
    return answer


class Channel:
    """A kept channel: one request after the other until it is closed."""

    def __init__(self, deployment: fleet.Fleet, front: fleet.Front) -> None:
        """Opens the channel at the first request."""
        self._record = deployment.record
        self._front = front
        self._conn = http.client.HTTPConnection(*front.address, timeout=10.0)
        # Requests that were answered on this channel.
        self.answered = 0

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        more: dict[str, str] | None = None,
    ) -> Answer:
        """Sends a client attempt; a channel that was closed has no further one."""
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": fleet.HOST,
            "Turmericward-Attempt-Id": attempt,
            "Turmericward-Deadline-Ms": "3000",
        } | (more or {})
        self._record.add("sent", id=attempt, front=self._front.name, target=target)
        began = time.monotonic()
        status, answered, received, error = 0, {}, b"", ""
        try:
            if self._conn.sock is None:
                self._conn.connect()
            self._conn.auto_open = 0
            self._conn.request(method, target, body or None, headers)
            resp = self._conn.getresponse()
            received = resp.read()
            status = resp.status
            answered = {k.lower(): v for k, v in resp.getheaders()}
            self.answered += 1
        except (OSError, http.client.HTTPException) as exc:
            error = repr(exc)
        self._record.add(
            "answered", id=attempt, status=status, body=received[:100], error=error
        )
        return Answer(
            id=attempt,
            status=status,
            headers=answered,
            body=received,
            whole=not error,
            took_s=time.monotonic() - began,
            error=error,
        )

    def close(self) -> None:
        """Closes the channel."""
        self._conn.close()
