"""Addresses of the form `ip:port`."""

from turmericward import schema


def split(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of `ip:port`.

    Raises:
        SchemaError: it has no port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), schema.parse_int(port, 0, schema.validators.MAX_PORT)
