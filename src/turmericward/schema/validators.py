"""Validators for attrs fields, as callables `(instance, attribute, value)`."""

import functools
import ipaddress
import re

import attrs

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
_SHA256 = re.compile(r"[0-9a-f]{64}")
# The scope of a link-local address names a network interface.
_IP = re.compile(r"[0-9a-fA-F:.]{2,45}(?:%[0-9a-zA-Z_.-]{1,15})?", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")
MAX_PORT = 65535
MAX_INT32 = 2**31 - 1
MAX_LABEL_CHARS = 255


class InvalidFieldError(ValueError):
    """Raised by a validator; `field` is the name of the invalid attribute."""

    def __init__(self, field: str, text: str) -> None:
        """Creates the error; `text` describes why the value is invalid."""
        super().__init__(text)
        self.field = field


@attrs.frozen
class _Between:
    low: float
    high: float

    def __call__(self, instance, attribute, value) -> None:
        if not self.low <= value <= self.high:
            msg = f"{value!r} is not between {self.low:g} and {self.high:g}"
            raise InvalidFieldError(attribute.name, msg)


def between(low: float, high: float):
    """Returns a validator that accepts numbers from `low` to `high` inclusive."""
    return _Between(low, high)


@attrs.frozen
class _OneOf:
    choices: tuple[str, ...]

    def __call__(self, instance, attribute, value) -> None:
        if value not in self.choices:
            msg = f"{value!r} is none of {', '.join(self.choices)}"
            raise InvalidFieldError(attribute.name, msg)


def one_of(*choices: str):
    """Returns a validator that accepts only the given strings."""
    return _OneOf(choices)


def not_empty(instance, attribute, value) -> None:
    """Accepts a container with at least one item.

    Raises:
        InvalidFieldError: the container is empty.
    """
    if not value:
        raise InvalidFieldError(attribute.name, "is empty")


def name(instance, attribute, value) -> None:
    """Accepts a resource name of lower-case letters, digits, dots and dashes.

    Raises:
        InvalidFieldError: the value isn't such a name.
    """
    if not _NAME.fullmatch(value):
        msg = f"{value!r} is not a lower-case name of up to 63 characters"
        raise InvalidFieldError(attribute.name, msg)


def label(instance, attribute, value) -> None:
    """Accepts text for logs and metrics: short, without control characters.

    Raises:
        InvalidFieldError: the value is too long or has a control character.
    """
    if len(value) <= MAX_LABEL_CHARS and value.isprintable():
        return
    if len(value) > MAX_LABEL_CHARS or _CONTROL.search(value):
        msg = f"{value!r} has control characters or more than {MAX_LABEL_CHARS}"
        raise InvalidFieldError(attribute.name, msg)


def _is_ip(text: str) -> bool:
    return _IP.fullmatch(text) is not None and _is_valid_ip(text)


# Targets announce the same addresses about once a second.
@functools.lru_cache(maxsize=4096)
def _is_valid_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def ip_literal(instance, attribute, value) -> None:
    """Accepts an IPv4 or IPv6 address.

    Raises:
        InvalidFieldError: the value is a host name or malformed.
    """
    if not _is_ip(value):
        raise InvalidFieldError(attribute.name, f"{value!r} is not an IP number")


def ip_port(instance, attribute, value) -> None:
    """Accepts `ip:port` with an IPv4 or IPv6 address.

    Raises:
        InvalidFieldError: the address is invalid or the port is out of range.
    """
    host, _, port = value.rpartition(":")
    ip_literal(instance, attribute, host.strip("[]"))
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        msg = f"{value!r} has no port between 1 and {MAX_PORT}"
        raise InvalidFieldError(attribute.name, msg)


def sha256_hex(instance, attribute, value) -> None:
    """Accepts a SHA-256 digest of 64 lower-case hexadecimal digits.

    Raises:
        InvalidFieldError: the value isn't such a digest.
    """
    if not _SHA256.fullmatch(value):
        msg = "is not a SHA-256 digest in lower-case hexadecimal"
        raise InvalidFieldError(attribute.name, msg)
