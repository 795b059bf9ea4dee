"""Sends callers' completions to model engines, for the delivery engine."""

from collections.abc import Iterator

from turmericward import delivery, fleet
from turmericward.adapters import engine

DONE = b"[DONE]"


class EngineTransport:
    """Implements the delivery engine's transport by the engines' own protocol."""

    def __init__(self, classes) -> None:
        """Creates the transport; `classes` are the settings of traffic classes."""
        self._classes = classes

    def send(
        self,
        target: fleet.Target,
        call: delivery.Call,
        dispatch: delivery.Dispatch,
    ) -> delivery.Answer:
        """Sends a completion; see `delivery.Transport`."""
        client = engine.EngineClient(target.address)
        job = engine.Job(
            path=call.target,
            body=call.body,
            request_id=call.id,
            priority=dispatch.priority,
            cancelled=call.disconnected,
        )
        if call.route.kind is not delivery.CallKind.STREAM:
            return _whole(client.complete(job, dispatch.timeout_s))
        opened = client.stream(
            job,
            first_s=dispatch.timeout_s,
            idle_s=self._classes[call.traffic_class].idle_s,
            after=int(dispatch.resume_after or 0),
        )
        if isinstance(opened, engine.Stream):
            return delivery.Answer(
                status=200,
                headers=(),
                chunks=_events(opened),
                close=opened.close,
                numbered=True,
            )
        return _whole(opened)

    def prefill(self, target, call, dispatch) -> str:
        """Isn't used: the entry's router chooses no engine that only reads."""
        raise NotImplementedError("engines read prompts where they answer")

    def release(self, source: str) -> None:
        """Does nothing: there is no KV cache to free."""


def _whole(answer: engine.Answer) -> delivery.Answer:
    return delivery.Answer(
        status=answer.status,
        headers=(("Content-Type", answer.content_type),),
        chunks=iter((answer.body,)),
        close=lambda: None,
        not_run=answer.status in engine.NOT_STARTED,
    )


def _events(stream: engine.Stream) -> Iterator[bytes]:
    for batch in stream.events():
        yield b"".join(_event(event) for event in batch)


def _event(event: engine.Event) -> bytes:
    number = b"id: %d\n" % event.seq if event.seq else b""
    return number + b"data: " + event.data + delivery.EVENT_END
