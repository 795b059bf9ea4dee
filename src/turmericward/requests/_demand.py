"""Estimates a request's work for an engine from its JSON body."""

import hashlib

import attrs

from turmericward.requests import _errors, _prompts

CHARS_PER_TOKEN = 4
MAX_PREFIX_TOKENS = 2000
DEFAULT_OUTPUT_TOKENS = 256
PRIORITIES = {"urgent": 0, "standard": 1, "patient": 2}
LOWEST_PRIORITY = 3


@attrs.frozen(kw_only=True)
class Demand:
    """Estimated work of a request; `prefix` is a hash of the start of its prompt."""

    model: str
    traffic_class: str
    tenant: str
    prompt_tokens: int
    output_tokens: int
    prefix: str
    prefix_tokens: int

    @property
    def tokens(self) -> int:
        """Length of the prompt in tokens."""
        return self.prompt_tokens

    @property
    def content_ids(self) -> tuple[str, ...]:
        """What identifies the prompt beside the body of the request, which has all."""
        return (self.model,)

    @property
    def shared_ids(self) -> dict[int, str]:
        """Number and id of the prompt's start, which other requests may share."""
        return {_prompts.segment_number(self.model, self.prefix): self.prefix}

    @property
    def priority(self) -> int:
        """Priority sent to the engine; lower numbers go first."""
        return PRIORITIES.get(self.traffic_class, LOWEST_PRIORITY)


def _prompt_text(body: dict) -> str:
    if "messages" in body:
        return "\n".join(_message_text(m) for m in _messages(body))
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    if isinstance(prompt, list) and all(isinstance(p, str) for p in prompt):
        return "\n".join(prompt)
    raise _errors.InvalidRequestError("prompt is not a string or a list of strings")


def _messages(body: dict) -> list:
    messages = body["messages"]
    if not isinstance(messages, list) or not messages:
        raise _errors.InvalidRequestError("messages is not a list with an item")
    return messages


def _message_text(message: object) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise _errors.InvalidRequestError("messages has an item without a role")
    content = message.get("content")
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_part_text(part) for part in content)
    raise _errors.InvalidRequestError("content is not a string or a list of parts")


def _part_text(part: object) -> str:
    if not isinstance(part, dict):
        raise _errors.InvalidRequestError("content has a part that is no object")
    text = part.get("text", "")
    return text if isinstance(text, str) else ""


def _output_tokens(body: dict) -> int:
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    if limit is None:
        return DEFAULT_OUTPUT_TOKENS
    if type(limit) is not int or limit < 1:
        raise _errors.InvalidRequestError("max_tokens is not a positive integer")
    return limit


def _check_types(body: dict) -> None:
    if not isinstance(body.get("model"), str) or not body["model"]:
        raise _errors.InvalidRequestError("model is not a non-empty string")
    if not isinstance(body.get("stream", False), bool):
        raise _errors.InvalidRequestError("stream is not a boolean")


def demand_of(body: object, tenant: str, traffic_class: str) -> Demand:
    """Estimates the demand of a request from its decoded JSON body.

    Raises:
        InvalidRequestError: a field is missing or has the wrong type.

    .. versionadded:: 0.1.0
    """
    if not isinstance(body, dict):
        raise _errors.InvalidRequestError("body is not a JSON object")
    _check_types(body)
    text = _prompt_text(body)
    head = text[: MAX_PREFIX_TOKENS * CHARS_PER_TOKEN]
    return Demand(
        model=body["model"],
        traffic_class=traffic_class,
        tenant=tenant,
        prompt_tokens=len(text) // CHARS_PER_TOKEN + 1,
        output_tokens=_output_tokens(body),
        prefix_tokens=min(MAX_PREFIX_TOKENS, len(text) // CHARS_PER_TOKEN),
        prefix=hashlib.blake2b(head.encode(), digest_size=8).hexdigest(),
    )


def with_model(demand: Demand, model: str) -> Demand:
    """Returns the same demand for another model, such as an adapter's base."""
    return attrs.evolve(demand, model=model)
