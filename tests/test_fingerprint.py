"""What names the content of a call, and what doesn't count."""

import re

import attrs

from tests import fixtures, platform_fixtures, test_dispatch
from turmericward import requests
from turmericward.routing import _fingerprint

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


def test_a_request_is_the_same_however_its_client_writes_it():
    body, headers = b"q" * 100, {"Authorization": "x"}
    sendings = {
        "first": (body, headers),
        "in_chunks": (iter((body[:9], body[9:])), headers),
        "host": (body, headers | {"Host": f"{platform_fixtures.HOST.upper()}:80"}),
        "order": (body, {"X-Other": "1"} | headers | {"Accept": "*/*"}),
        "other_caller": (body, {"Authorization": "y"}),
        "other_body": (body + b"q", headers),
    }
    contents = {}
    with platform_fixtures.platform(("p1", "p2", "p3")) as platform:
        for name in tuple(platform.servers):
            # Attempts that fail are logged.
            platform.servers.pop(name).crash()
        for call_id, (sent, fields) in sendings.items():
            platform.call("POST", "/write/deadly", call_id, fields, sent)
        for line in platform.read_log().splitlines():
            found = re.search(r'"request_id": "(\w+)".*"content": "(\w+)"', line)
            if found is not None:
                contents[found[1]] = found[2]
    check.assertEqual(set(contents), set(sendings))
    same = ("first", "in_chunks", "host", "order")
    check.assertEqual(len({contents[name] for name in same}), 1, contents)
    check.assertEqual(len(set(contents.values())), 3, contents)
