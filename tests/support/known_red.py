"""Cases that fail for a known fault that is not fixed yet: `KNOWN-RED.txt` at the root, one line each.

A line is `CASE | COMMAND, SEED | WHAT WAS SEEN | issue N`. The case is a test (`tests/x.py::test_name`) or,
outside the tests, the path of a script or module. Exactly the listed tests are passed over, and every entry
is printed. A listed test must fail, unless what was seen begins with `at times: `. The run fails on a line
that cannot be read, on a case that does not exist, and on a listed test that passes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
FORM = "CASE | COMMAND, SEED | WHAT WAS SEEN | issue N"
AT_TIMES = "at times: "
_FIELD = r"\S(?:.*?\S)?"
_LINE = re.compile(
    rf"(?P<case>{_FIELD}) \| (?P<command>{_FIELD}, (?:no seed|seeds? {_FIELD})) \| "
    rf"(?P<seen>{_FIELD}) \| issue (?P<issue>\d+)"
)


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the file."""

    case: str
    command: str
    seen: str
    issue: int

    @property
    def is_test(self) -> bool:
        """Whether the case is a test, by its pytest id."""
        return "::" in self.case

    @property
    def always_fails(self) -> bool:
        """Whether a run in which the case passes is an error."""
        return not self.seen.startswith(AT_TIMES)

    def __str__(self) -> str:
        """The line as it is printed in a run's summary."""
        return f"{self.case}: {self.seen} ({self.command}; issue {self.issue})"


def read(root: Path) -> dict[str, KnownFailure]:
    """Returns the entries by case. Raises ValueError, which names the line that cannot be used."""
    path = root / FILE
    known: dict[str, KnownFailure] = {}
    lines = path.read_text().splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        match = _LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"{FILE}:{number}: is not `{FORM}`")
        entry = KnownFailure(match["case"], match["command"], match["seen"], int(match["issue"]))
        if entry.case in known:
            raise ValueError(f"{FILE}:{number}: names a case again")
        if not entry.is_test and not (root / entry.case).is_file():
            raise ValueError(f"{FILE}:{number}: there is no file {entry.case}")
        known[entry.case] = entry
    return known


class KnownRed:
    """Marks the listed tests as expected failures, and reports on all entries."""

    def __init__(self, known: dict[str, KnownFailure], whole: bool) -> None:
        """`whole`: whether all tests were asked for, so that each listed one must be met."""
        self.known, self.whole = known, whole
        self.met: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            entry = self.known.get(item.nodeid)
            if entry is not None:
                item.add_marker(pytest.mark.xfail(reason=str(entry), strict=entry.always_fails))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.met.add(report.nodeid)

    def missing(self) -> list[str]:
        """Returns the listed tests that no collected test has the name of."""
        tests = [entry.case for entry in self.known.values() if entry.is_test]
        return [test for test in tests if test not in self.met] if self.whole else []

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.missing() and not hasattr(session.config, "workerinput"):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for entry in self.known.values():
            if not entry.is_test or entry.case in self.met:
                terminalreporter.write_line(f"known red: {entry}")
        for test in self.missing():
            terminalreporter.write_line(f"{FILE}: no test is named {test}", red=True)


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = read(config.rootpath)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    names_tests = config.args_source is pytest.Config.ArgsSource.ARGS
    part = names_tests or bool(config.option.keyword or config.option.markexpr)
    config.pluginmanager.register(KnownRed(known, whole=not part), "known-red")
