"""When expected load completions are published, and with which values."""

import math

import pytest

from larchgw.identifiers import RunnerId
from larchgw.placement.completion_publisher import UNLOADING_MS, CompletionPublisher

from .builders import R0

Published = list[tuple[RunnerId, dict[str, float]]]


@pytest.fixture
def published() -> Published:
    return []


@pytest.fixture
def publisher(published: Published) -> CompletionPublisher:
    return CompletionPublisher(
        lambda runner_id, completions_ms: published.append((runner_id, completions_ms))
    )


def test_loads_are_published_as_remaining_milliseconds_and_unloads_by_their_own_value(
    publisher: CompletionPublisher, published: Published
) -> None:
    publisher.update(10.0, {R0: {"m0": 10.25, "m1": 9.0, "m2/a1": math.inf}})
    assert published == [("r0", {"m0": 250, "m1": 0, "m2/a1": UNLOADING_MS})]


def test_unchanged_completions_are_not_published_again(
    publisher: CompletionPublisher, published: Published
) -> None:
    publisher.update(10.0, {R0: {"m0": 11.0}})
    publisher.update(10.5, {R0: {"m0": 11.0}})
    assert published == [("r0", {"m0": 1000})]


def test_a_runner_without_completions_is_withdrawn_once(
    publisher: CompletionPublisher, published: Published
) -> None:
    publisher.update(10.0, {R0: {"m0": 11.0}})
    publisher.update(10.5, {})
    publisher.update(11.0, {})
    assert published == [("r0", {"m0": 1000}), ("r0", {})]


def test_all_completions_are_published_again_after_a_reset(
    publisher: CompletionPublisher, published: Published
) -> None:
    publisher.update(10.0, {R0: {"m0": 11.0}})
    publisher.reset()
    publisher.update(10.5, {R0: {"m0": 11.0}})
    assert published == [("r0", {"m0": 1000}), ("r0", {"m0": 500})]
