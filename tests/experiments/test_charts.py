"""Charts of the lab: well-formed, and no point or bound falls outside of the paper."""

from __future__ import annotations

import xml.etree.ElementTree as ElementTree

import pytest

from larchgw.experiments.charts import HEIGHT, LEFT, TOP, WIDTH, Chart, draw

SVG = "{http://www.w3.org/2000/svg}"
ROWS = [{"dispatchers": 60, "a": 7.0, "b": 0.0}, {"dispatchers": 30, "a": 3.0, "b": 9.0}]


def points(text: str) -> list[tuple[float, float]]:
    return [
        (float(circle.attrib["cx"]), float(circle.attrib["cy"]))
        for circle in ElementTree.fromstring(text).iter(f"{SVG}circle")
    ]


@pytest.mark.parametrize("bound", [None, 0.5, 40.0])
def test_nothing_falls_off_the_paper(bound: float | None) -> None:
    found = points(draw(Chart("x.svg", "a < b & c", ("a", "b"), bound), ROWS))
    assert len(found) == 4
    assert all(LEFT <= x <= WIDTH and TOP <= y <= HEIGHT for x, y in found)


def test_a_larger_value_stands_higher_and_rows_are_put_in_order() -> None:
    (x_30, y_30), (x_60, y_60) = points(draw(Chart("x.svg", "t", ("a",)), ROWS))
    assert x_30 < x_60
    assert y_30 > y_60


def test_a_measure_that_is_all_zero_is_drawn_at_the_bottom() -> None:
    rows = [{"dispatchers": 30, "a": 0.0}, {"dispatchers": 60, "a": 0.0}]
    assert {y for _, y in points(draw(Chart("x.svg", "t", ("a",)), rows))} == {float(HEIGHT - 50)}
