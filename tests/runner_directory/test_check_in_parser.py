"""Parsing of check-ins: accepted fields, defaults, and the errors of invalid ones."""

from __future__ import annotations

import contextlib
import json

import pytest
import testtools
from hypothesis import given
from hypothesis import strategies as st

from larchgw.runner_directory.check_in_parser import parse_check_in
from larchgw.runner_directory.errors import CheckInError
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage


def body(**fields: object) -> bytes:
    return json.dumps(
        {"service": "llm", "address": "10.0.0.9:8080", "zone": "z1", "state": "ready", "call_count": 1}
        | fields
    ).encode()


INVALID: list[tuple[str, bytes]] = [
    ("body", b"{"),
    ("body", b"[]"),
    ("service", body(service="")),
    ("service", body(service=None)),
    ("address", body(address="nowhere")),
    ("address", body(address="h:99999")),
    ("state", body(state="dead")),
    ("state", body(state=[])),
    ("slots", body(slots="many")),
    ("call_count", body(call_count=True)),
    ("models", body(models={"a": 1})),
    ("models[0]", body(models=["m"])),
    ("models[0].adapters", body(models=[{"name": "m", "adapters": [1]}])),
]


class CheckInParserTest(testtools.TestCase):
    def test_a_complete_check_in_is_parsed(self) -> None:
        models = [{"name": "m", "config_version": 3, "adapters": ["a1", "a2"], "more": 1}]
        got = parse_check_in(
            "i-1",
            body(
                config_version="v1",
                slots=64,
                state="draining",
                cold_left_ms=10,
                left_ms=900,
                phase="both",
                models=models,
                call_count=4,
                unknown={"x": 1},
            ),
        )
        assert (
            RunnerRecord(
                "i-1",
                "llm",
                "10.0.0.9:8080",
                "z1",
                Stage.DRAINING,
                64,
                "v1",
                "both",
                10.0,
                900.0,
                4,
                (HeldModel("m", 3, ("a1", "a2")),),
            )
            == got
        )

    def test_a_missing_field_gets_a_default(self) -> None:
        got = parse_check_in("i-1", b'{"service":"s","address":"h:1"}')
        assert (got.stage, got.slots, got.time_left_ms, got.models) == (Stage.READY, 1, -1.0, ())

    def test_a_rejected_check_in_names_field_and_remedy(self) -> None:
        for field, sent in INVALID:
            with pytest.raises(CheckInError, match="; send") as raised:
                parse_check_in("i-1", sent)
            assert (raised.value.field, raised.value.status) == (field, 400)

    @given(
        st.binary(max_size=60)
        | st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["service", "address", "state", "slots", "models", "name", "call_count"]),
                inner,
            ),
            max_leaves=12,
        ).map(lambda value: json.dumps(value).encode())
    )
    def test_no_input_raises_another_error(self, sent: bytes) -> None:
        with contextlib.suppress(CheckInError):
            parse_check_in("i-1", sent)

    def test_a_record_is_unchanged_after_encoding_and_decoding(self) -> None:
        held = (HeldModel("m", 2, ("a1",)),)
        record = RunnerRecord(
            "i-1", "llm", "10.0.0.9:8080", "z1", time_left_ms=5.0, call_count=1, models=held, owner="c.1"
        )
        assert RunnerRecord.decode(record.encode()) == record
