"""A pytest plugin for known failures: KNOWN-RED.txt lists tests that fail for a known fault that cannot be fixed yet.

The file is in the root folder. It has at most three lines of the form ``test, cause, issue``; ``test`` is the pytest
node id. A listed test still runs, up to :data:`MAX_RUNS` times; its failure is printed but does not fail the run. These
fail the whole run:

- a line that is not of that form, or names no test;
- a fourth line;
- a listed test that passes every time: its line must be removed.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.reports import TestReport
from _pytest.runner import runtestprotocol

FILE = "KNOWN-RED.txt"
MAX_LISTED = 3
MAX_RUNS = 5  # a listed test that passes this many times in a row is not a known failure

_LISTED = pytest.StashKey[dict[str, str]]()
_RESULTS = pytest.StashKey[dict[str, str]]()


def read(path: Path) -> dict[str, str]:
    """Return the listed tests with the cause of each failure; raises UsageError when the file is malformed."""
    if not path.exists():
        return {}
    listed: dict[str, str] = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test.strip() and cause.strip() and issue.strip()):
            raise pytest.UsageError(f"{FILE}:{number}: line is not of the form 'test, cause, issue'")
        if test in listed:
            raise pytest.UsageError(f"{FILE}:{number}: {test} is listed twice")
        listed[test] = f"{cause.strip()} (issue {issue.strip()})"
    if len(listed) > MAX_LISTED:
        raise pytest.UsageError(f"{FILE}: {len(listed)} lines; at most {MAX_LISTED} are allowed")
    return listed


def pytest_configure(config: pytest.Config) -> None:
    """Read the list."""
    config.stash[_LISTED] = read(config.rootpath / FILE)
    config.stash[_RESULTS] = {}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Require that each listed test exists: it was collected, or its file exists and was not collected."""
    ids = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for test in config.stash[_LISTED]:
        file = test.partition("::")[0]
        if test not in ids and (file in files or not (config.rootpath / file).is_file()):
            raise pytest.UsageError(f"{FILE}: test {test} does not exist")


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_protocol(item: pytest.Item, nextitem: pytest.Item | None) -> bool | None:
    """Run a listed test until it fails, at most :data:`MAX_RUNS` times."""
    cause = item.config.stash[_LISTED].get(item.nodeid)
    if cause is None:
        return None
    item.ihook.pytest_runtest_logstart(nodeid=item.nodeid, location=item.location)
    reports: list[TestReport] = []
    for _ in range(MAX_RUNS):
        if hasattr(item, "_initrequest"):
            item._initrequest()  # create the fixtures anew
        reports = runtestprotocol(item, nextitem=nextitem, log=False)
        if any(report.failed for report in reports):
            break
    failed = any(report.failed for report in reports)
    for report in reports:
        if report.failed:
            report.outcome, report.wasxfail = "skipped", cause
        elif report.when == "call" and not failed:
            report.outcome, report.longrepr = "failed", f"passed {MAX_RUNS} times: remove its line from {FILE}"
        item.ihook.pytest_runtest_logreport(report=report)
    item.config.stash[_RESULTS][item.nodeid] = f"failed, as known: {cause}" if failed else "passes: not a known failure"
    item.ihook.pytest_runtest_logfinish(nodeid=item.nodeid, location=item.location)
    return True


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the result of each listed test."""
    for test, result in config.stash[_RESULTS].items():
        terminalreporter.write_line(f"{FILE}: {test} {result}")
