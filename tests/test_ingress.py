"""Clients' calls and the replies to them, at the interface of the HTTP server."""

import io
import itertools

import attrs
from waitress import task

from tests import fixtures, test_dispatch
from turmericward import routing
from turmericward.adapters import service
from turmericward.platform import _headers, _ingress

check = fixtures.check
TIMEOUT_S = 20.0


def _call_with(deadline: str | None) -> routing.Call:
    environ = {"REQUEST_METHOD": "POST", "wsgi.input": io.BytesIO(b"q")}
    if deadline is not None:
        name = _headers.DEADLINE_MS.upper().replace("-", "_")
        environ[f"HTTP_{name}"] = deadline
    route = attrs.evolve(test_dispatch._call(1.0).route, timeout_s=TIMEOUT_S)
    return _ingress._build_call(environ, "/x", route)


def test_a_call_without_a_deadline_was_ended_at_one_of_our_own():
    cases = ((None, 20.0), ("", 20.0), ("x", 20.0), ("6000", 6.0), ("60000", 20.0))
    for deadline, expected_s in cases:
        call = _call_with(deadline)
        check.assertAlmostEqual(call.deadline - call.received, expected_s, msg=deadline)


class _Body:
    """A stream of which nothing is read."""

    closed = False

    def close(self) -> None:
        self.closed = True


def test_a_stream_stayed_open_when_the_server_refused_a_header_of_its_answer():
    def start_response(status, headers):
        raise AssertionError("refused header")

    body = _Body()
    with check.assertRaises(AssertionError):
        _ingress._send(routing.Reply(status=200, body=body), start_response)
    check.assertTrue(body.closed)


def test_headers_that_the_server_refuses_failed_an_answer():
    names = itertools.chain(task.hop_by_hop, ("Trailer", "Keep-Alive"))
    check.assertEqual(service.end_to_end_headers((n, "x") for n in names), ())
