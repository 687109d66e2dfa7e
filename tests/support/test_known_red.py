"""KNOWN-RED.txt lets through just what it names, and nothing that it should not name."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.known_red import FILE

TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_half(n): assert n == 1
"""
RED = "test_x.py::test_red | pytest test_x.py, no seed | the reason | issue 7"
HALF = "test_x.py::test_half[2] | pytest test_x.py, seeds 2 and 3 | another | issue 8"


def run(folder: Path, *lines: str, args: tuple[str, ...] = ("-n", "2")) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_x.py").write_text(TESTS)
    (folder / "case.sh").touch()
    (folder / FILE).write_text("".join(line + "\n" for line in lines))
    plugins = ("-p", "no:cacheprovider", "-p", "tests.support.known_red")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *plugins, *args],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[2])},
    )
    return done.returncode, done.stdout + done.stderr


def test_what_is_listed_is_passed_over_and_printed_and_the_rest_counts(tmp_path: Path) -> None:
    status, told = run(tmp_path, RED, HALF)
    assert status == 0, told
    assert "2 passed" in told, told
    assert "2 xfailed" in told, told
    assert "known red: test_x.py::test_red: the reason (pytest test_x.py, no seed; issue 7)" in told
    status, told = run(tmp_path, RED)
    assert status == 1
    assert "1 failed" in told
    assert "test_half[2]" in told


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("test_x.py::test_green | pytest, no seed | it does not fail | issue 7", "XPASS(strict)"),
        ("test_x.py::test_half[1] | pytest, no seed | it does not fail | issue 7", "XPASS(strict)"),
        (
            "test_x.py::test_half[3] | pytest, no seed | no such case | issue 7",
            "no test is named test_x.py::test_half[3]",
        ),
        (
            "test_y.py::test_red | pytest, no seed | no such file | issue 7",
            "no test is named test_y.py::test_red",
        ),
        ("other.sh | sh other.sh, no seed | no such file | issue 7", f"{FILE}:3: there is no file other.sh"),
        ("test_x.py::test_red | the older form | issue 7", f"{FILE}:3: is not"),
        ("test_x.py::test_red | pytest | neither a seed nor none | issue 7", f"{FILE}:3: is not"),
        ("test_x.py::test_red | pytest, no seed | no issue", f"{FILE}:3: is not"),
        ("test_x.py::test_red | pytest, no seed | | issue 7", f"{FILE}:3: is not"),
        ("", f"{FILE}:3: is not"),
        (RED, f"{FILE}:3: names a case again"),
    ],
)
def test_a_line_that_should_not_be_there_fails_the_run(tmp_path: Path, line: str, says: str) -> None:
    status, told = run(tmp_path, RED, HALF, line)
    assert status != 0, told
    assert says in told, told


def test_a_case_outside_the_tests_is_printed(tmp_path: Path) -> None:
    status, told = run(tmp_path, RED, HALF, "case.sh | sh case.sh, seed 5 | it broke a rule | issue 9")
    assert status == 0, told
    assert "known red: case.sh: it broke a rule (sh case.sh, seed 5; issue 9)" in told


def test_a_test_that_fails_at_times_may_pass_and_may_fail(tmp_path: Path) -> None:
    at_times = [line.replace("| the reason", "| at times: the reason") for line in (RED, HALF)]
    green = "test_x.py::test_green | pytest, no seed | at times: late | issue 7"
    status, told = run(tmp_path, *at_times, green)
    assert status == 0, told
    assert "1 xpassed" in told, told
    assert "2 xfailed" in told, told
    assert "known red: test_x.py::test_green: at times: late" in told


def test_a_run_of_some_tests_does_not_miss_the_others(tmp_path: Path) -> None:
    status, told = run(tmp_path, RED, HALF, args=("-k", "green"))
    assert status == 0, told
    assert "1 passed" in told, told


def test_without_the_file_nothing_is_passed_over(tmp_path: Path) -> None:
    status, told = run(tmp_path)
    assert status == 1, told
    assert "2 failed" in told, told
