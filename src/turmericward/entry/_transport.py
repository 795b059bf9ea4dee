"""Transport of the delivery engine to model engines."""

from collections.abc import Iterator

from turmericward import eventstream, fleet, routing
from turmericward.adapters import engine

DONE = b"[DONE]"


class EngineTransport:
    """Implements `delivery.Transport` with the protocol of the engines."""

    def send(
        self,
        target: fleet.Target,
        call: routing.Call,
        dispatch: routing.Dispatch,
    ) -> routing.Answer:
        """Sends a completion; see `delivery.Transport`."""
        client = engine.EngineClient(target.address)
        job = engine.Job(
            path=call.target,
            body=call.body,
            request_id=call.id,
            priority=dispatch.priority,
            cancelled=call.cancelled,
        )
        watch = engine.Watch(on_late=dispatch.on_late, rival=dispatch.rival)
        if call.route.kind is not routing.CallKind.STREAM:
            return _to_answer(
                client.complete(
                    job, dispatch.timeout_s, deadline=call.deadline, watch=watch
                )
            )
        result = client.stream(
            job,
            first_byte_timeout_s=dispatch.timeout_s,
            deadline=call.deadline,
            resume_after=int(dispatch.resume_after or 0),
            watch=watch,
        )
        if isinstance(result, engine.Stream):
            return routing.Answer(
                status=200,
                headers=(),
                chunks=_events(result),
                close=result.close,
                wait_until=result.wait_until,
                numbered=True,
            )
        return _to_answer(result)

    def prefill(self, target, call, dispatch) -> str:
        """Not supported: the entry's router selects no prefill-only engines."""
        raise NotImplementedError("separate prefill is not supported")

    def has_ended(self, target: fleet.Target) -> bool:
        """Returns whether the engine has ended; see `delivery.Transport`."""
        return engine.has_ended(target.address)

    def release(self, source: str) -> None:
        """Does nothing: without separate prefill no KV cache is held."""


def _to_answer(resp: engine.Response) -> routing.Answer:
    return routing.Answer(
        status=resp.status,
        headers=(("Content-Type", resp.content_type),),
        chunks=iter((resp.body,)),
        close=lambda: None,
        outcome=routing.outcome_of(
            resp.status, refused=resp.status in engine.NOT_STARTED_STATUSES
        ),
    )


def _events(stream: engine.Stream) -> Iterator[bytes]:
    for batch in stream.events():
        yield b"".join(_event(event) for event in batch)


def _event(event: engine.Event) -> bytes:
    id_line = b"id: %d\n" % event.seq if event.seq else b""
    return id_line + b"data: " + event.data + eventstream.EVENT_END
