"""JSON values that a writer of records may get wrong."""

import contextlib
import json

import hypothesis
from hypothesis import strategies

DEPTH = 50_000
# By what is wrong with them, as they stand in the JSON.
VALUES = {
    "deep list": b"[" * DEPTH + b"]" * DEPTH,
    "deep object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "infinite exponent": b"1e400",
    "400 digits": b"1" + b"0" * 400,
    "5000 digits": b"9" * 5000,
    "fraction of 5000 digits": b"0." + b"3" * 5000,
    "beyond 64 bits": b"9223372036854775808",
    "below 64 bits": b"-9223372036854775809",
    "largest of 64 bits": b"9223372036854775807",
    "largest float": b"1.7e308",
    "not a number": b"NaN",
    "infinity": b"Infinity",
    "minus infinity": b"-Infinity",
    "negative": b"-1",
    "zero": b"0",
    "lone surrogate": b'"\\ud800"',
    "escaped byte": b'"\\udcff"',
    "NUL": b'"\\u0000"',
    "line break": b'"a\\nb"',
    "digits of another script": '"\u0663"'.encode(),
    "port out of range": b'"10.0.0.1:70000"',
    "port 0": b'"10.0.0.1:0"',
    "port in another script": '"10.0.0.1:\u0663"'.encode(),
    "scope without end": b'"[::1%' + b"a" * 300 + b']:80"',
    "host with scope": b'"::1%' + b"a" * 300 + b'"',
    "huge string": b'"' + b"x" * 300_000 + b'"',
    "empty string": b'""',
    "empty list": b"[]",
    "empty object": b"{}",
    "null": b"null",
    "true": b"true",
    "no value": b"",
    "bytes that aren't UTF-8": b'"\xff\xfe"',
}


def with_field(record: dict, field: str, raw: bytes) -> bytes:
    """Returns a record as JSON with a raw value in one field."""
    rest = json.dumps({k: v for k, v in record.items() if k != field}).encode()
    return b'{"%s": %s%s' % (
        field.encode(),
        raw,
        rest.replace(b"{", b", ", 1) if len(rest) > 2 else b"}",
    )


def records(record: dict) -> dict[str, bytes]:
    """Returns odd variants of a record, each with a name."""
    odd = dict(VALUES)
    for field in [*record, "Unknown"]:
        for name, raw in VALUES.items():
            odd[f"{field}: {name}"] = with_field(record, field, raw)
        text = json.dumps(record)[1:]
        odd[f"{field}: twice"] = f'{{"{field}": 1, "{field}": 2, {text}'.encode()
    return odd


PROPERTY = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)


def outcomes(variants: dict[str, bytes], read, error: type) -> dict[str, str]:
    """Returns what readings ended with that was neither a value nor `error`."""
    failed = {}
    for name, raw in variants.items():
        try:
            read(raw)
        except error as exc:
            if len(str(exc)) > 40_000:
                failed[name] = f"error of {len(str(exc))} characters"
        except Exception as exc:
            failed[name] = type(exc).__name__
    return failed


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(alphabet=strategies.characters(), max_size=20)
    | strategies.sampled_from([2**31, 2**63, 10**400, "\ud800", "10.0.0.1:\u0663"]),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)


def dump(value: object) -> bytes:
    """Returns a value as JSON, which may be beyond the limits of readers."""
    return json.dumps(value).encode("utf-8", "surrogatepass")


def mutations(record: dict):
    """Returns a strategy of records in which some fields have other values."""
    return strategies.dictionaries(
        strategies.sampled_from([*record, "Unknown"]), JSON, max_size=3
    ).map(lambda changes: dump(record | changes))


@strategies.composite
def damaged(draw, raw: bytes) -> bytes:
    """Returns bytes of which a range was replaced."""
    start = draw(strategies.integers(0, len(raw)))
    end = draw(strategies.integers(start, len(raw)))
    return raw[:start] + draw(strategies.binary(max_size=8)) + raw[end:]


def any_bytes(record: dict):
    return strategies.one_of(
        mutations(record),
        damaged(dump(record)),
        JSON.map(dump),
        strategies.binary(max_size=40),
    )


def assert_property(strategy, read, error) -> None:
    @PROPERTY
    @hypothesis.given(strategy)
    def run(raw: bytes) -> None:
        with contextlib.suppress(error):
            read(raw)

    run()
