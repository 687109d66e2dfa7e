"""Encoding of orders, and decoding of response statuses and reports."""

import pytest

from larchgw.placement.model import Order, OrderAction, OrderOutcome, RunnerReport
from larchgw.placement.orders import decode_report, encode_order, outcome_of

from .builders import R0


def test_an_order_body_has_the_owner_the_fencing_token_and_the_expected_order_count() -> None:
    order = Order(R0, "a:1", OrderAction.LOADING, "m", "a3", 2)
    assert encode_order(order, "node-7", 41) == (
        b'{"order":"loading","model":"m","owner":"node-7","fence":41,"adapter":"a3","if_revision":2}'
    )


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (202, OrderOutcome.ACCEPTED),
        (200, OrderOutcome.ALREADY_HELD),
        (409, OrderOutcome.CONFLICT),
        (412, OrderOutcome.FENCED),
        (400, OrderOutcome.REJECTED),
        (421, OrderOutcome.OTHER_RUNNER),
        (500, OrderOutcome.UNKNOWN),
        (599, OrderOutcome.UNKNOWN),
    ],
)
def test_each_status_is_decoded_to_its_outcome(status: int, outcome: OrderOutcome) -> None:
    assert outcome_of(status) is outcome


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"models":[1],"occupied":false,"call_count":1}',
        b'{"models":[],"occupied":false,"call_count":"x"}',
    ],
)
def test_an_invalid_report_is_none(body: bytes) -> None:
    assert decode_report(body) is None


def test_a_report_is_decoded_from_its_json() -> None:
    body = (
        b'{"phase":"both","models":[{"name":"d","config_version":1,"adapters":["a1"]}],"occupied":true,'
        b'"call_count":2,"queued":1,"in_progress":12,"cache_used":1,"cache_total":9,"takes":0}'
    )
    assert decode_report(body) == RunnerReport({"d": frozenset({"a1"})}, True, 2, 1, 12)
