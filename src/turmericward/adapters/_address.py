"""Addresses of the form `ip:port`."""


def split(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
