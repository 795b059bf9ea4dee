"""Names the content of a call, so that any front recognizes its repeats."""

import hashlib

from turmericward.routing import _calls

# Keeps these hashes apart from others of the same text.
_PURPOSE = b"call content"


def fingerprint(call: _calls.Call, service: str) -> int:
    """Returns a signed 64-bit number for what a service is to run for which caller.

    The id, the deadline, the attempt and the connection differ each time a call is
    sent, and a resumed stream has events already; none of these counts.
    """
    head = [service, call.caller, call.method, call.route.host, call.target]
    if call.prompt is not None:
        head += call.prompt.content_ids
    digest = hashlib.blake2b(digest_size=8, person=_PURPOSE)
    for part in (*(text.encode() for text in head), call.body):
        # With its length, so that no two lists of parts are the same bytes.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest(), signed=True)


def fingerprint_hex(number: int) -> str:
    """Returns a fingerprint, or the number of a segment, as it is logged."""
    return f"{number & 0xFFFF_FFFF_FFFF_FFFF:016x}"
