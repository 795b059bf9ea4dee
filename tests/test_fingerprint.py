"""What names the content of a call, and what doesn't count."""

import attrs

from tests import fixtures, test_dispatch
from turmericward import requests
from turmericward.delivery import _fingerprint

check = fixtures.check
CALL = attrs.evolve(test_dispatch._call(8.0), target="/a/b?c=1", caller="x", body=b"q")


def _fingerprint_of(service: str = "s", **changes) -> int:
    return _fingerprint.fingerprint(attrs.evolve(CALL, **changes), service)


def test_two_sendings_of_a_call_have_the_same_fingerprint():
    again = _fingerprint_of(
        id="other",
        headers=(("Connection", "close"), ("User-Agent", "sdk/2")),
        received=CALL.received + 9,
        deadline=CALL.deadline + 3,
        deadline_s=3.0,
        resume_after="7",
    )
    check.assertEqual(again, _fingerprint_of())


def test_calls_with_other_content_have_other_fingerprints():
    segments = CALL.prompt.segments[:-1] + (requests.PromptSegment(id="z", tokens=1),)
    others = {
        _fingerprint_of(),
        _fingerprint_of(service="t"),
        _fingerprint_of(method="GET"),
        _fingerprint_of(target="/a/b"),
        _fingerprint_of(target="/a/b?c=2"),
        _fingerprint_of(caller=""),
        _fingerprint_of(caller="y"),
        _fingerprint_of(body=b""),
        _fingerprint_of(caller="", service="sx"),
        _fingerprint_of(target="/a/b?c=", body=b"1q"),
        _fingerprint_of(prompt=None),
        _fingerprint_of(prompt=attrs.evolve(CALL.prompt, segments=segments)),
        _fingerprint_of(route=attrs.evolve(CALL.route, host="other")),
    }
    check.assertEqual(len(others), 13)
    check.assertLess(max(abs(number) for number in others), 2**63 + 1)
