"""Random identifiers, unique across processes and restarts, and digests."""

import hashlib
import uuid


def new_id() -> str:
    """Returns a random 128-bit identifier of 32 hexadecimal digits."""
    return uuid.uuid4().hex


def sha256_hex(text: str) -> str:
    """Returns the SHA-256 digest of the text in lower-case hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
