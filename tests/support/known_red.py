"""Tests that fail for a fault we know and have not mended yet: `KNOWN-RED.txt` at the root, three at most.

A line is `tests/test_x.py::test_name | cause | issue N`. Just these are passed over, and printed. The run
fails on a line that cannot be read, a fourth one, a name that no test has, and a listed test that passes.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3
LINE = re.compile(r"(?P<test>\S+\.py::\S.*?) \| (?P<cause>\S.*?) \| issue (?P<issue>\d+)")


def read(path: Path) -> dict[str, str]:
    """Causes by test. ValueError names the line that cannot be."""
    known: dict[str, str] = {}
    lines = path.read_text().splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        match = LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"{FILE}:{number}: is not `tests/test_x.py::test_name | cause | issue N`")
        if match["test"] in known:
            raise ValueError(f"{FILE}:{number}: names a test again")
        if number > MOST:
            raise ValueError(f"{FILE}:{number}: {MOST} lines at most; mend one first")
        known[match["test"]] = f"{match['cause']} (issue {match['issue']})"
    return known


class KnownRed:
    def __init__(self, known: dict[str, str], whole: bool) -> None:
        self.known, self.whole = known, whole
        self.met: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if item.nodeid in self.known:
                item.add_marker(pytest.mark.xfail(reason=self.known[item.nodeid], strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.met.add(report.nodeid)

    def missing(self) -> list[str]:
        return [test for test in self.known if test not in self.met] if self.whole else []

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.missing() and not hasattr(session.config, "workerinput"):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test, why in self.known.items():
            if test in self.met:
                terminalreporter.write_line(f"known red: {test}: {why}")
        for test in self.missing():
            terminalreporter.write_line(f"{FILE}: no test is named {test}", red=True)


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = read(config.rootpath / FILE)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    asked = config.invocation_params.args
    part = config.option.keyword or config.option.markexpr or any(".py" in str(arg) for arg in asked)
    config.pluginmanager.register(KnownRed(known, whole=not part), "known-red")
