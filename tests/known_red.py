"""KNOWN-RED.txt: tests that fail for a fault that is known and cannot be mended yet. A pytest plugin.

At the root, a line each: ``test, cause, issue``, three at the most; the test is named as pytest names it. Such a test still
runs, up to :data:`TRIES` times; its failure is printed and passes for nothing worse. What fails the whole run:

- a line that is not of that form, or names no test;
- a fourth line;
- a listed test that passes every time: its line has to go.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.reports import TestReport
from _pytest.runner import runtestprotocol

FILE = "KNOWN-RED.txt"
MOST = 3
TRIES = 5  # a listed test that passes so many times in a row is not red

_LISTED = pytest.StashKey[dict[str, str]]()
_ENDED = pytest.StashKey[dict[str, str]]()


def read(path: Path) -> dict[str, str]:
    """Tests and why each is red; UsageError where the file is not in order."""
    if not path.exists():
        return {}
    found: dict[str, str] = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test.strip() and cause.strip() and issue.strip()):
            raise pytest.UsageError(f"{FILE}:{number}: not 'test, cause, issue'")
        if test in found:
            raise pytest.UsageError(f"{FILE}:{number}: {test} stands there twice")
        found[test] = f"{cause.strip()} (issue {issue.strip()})"
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(found)} lines; {MOST} at the most")
    return found


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_LISTED] = read(config.rootpath / FILE)
    config.stash[_ENDED] = {}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """A listed test must be there: among those collected, or, where its file was not, by its file."""
    ids = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for test in config.stash[_LISTED]:
        file = test.partition("::")[0]
        if test not in ids and (file in files or not (config.rootpath / file).is_file()):
            raise pytest.UsageError(f"{FILE}: there is no test {test}")


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_protocol(item: pytest.Item, nextitem: pytest.Item | None) -> bool | None:
    """Run a listed test until it fails."""
    why = item.config.stash[_LISTED].get(item.nodeid)
    if why is None:
        return None
    item.ihook.pytest_runtest_logstart(nodeid=item.nodeid, location=item.location)
    reports: list[TestReport] = []
    for _ in range(TRIES):
        if hasattr(item, "_initrequest"):
            item._initrequest()  # fixtures are made anew
        reports = runtestprotocol(item, nextitem=nextitem, log=False)
        if any(report.failed for report in reports):
            break
    red = any(report.failed for report in reports)
    for report in reports:
        if report.failed:
            report.outcome, report.wasxfail = "skipped", why
        elif report.when == "call" and not red:
            report.outcome, report.longrepr = "failed", f"passed {TRIES} times: take its line out of {FILE}"
        item.ihook.pytest_runtest_logreport(report=report)
    item.config.stash[_ENDED][item.nodeid] = f"failed, as known: {why}" if red else "passes: not red"
    item.ihook.pytest_runtest_logfinish(nodeid=item.nodeid, location=item.location)
    return True


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print what was passed over."""
    for test, how in config.stash[_ENDED].items():
        terminalreporter.write_line(f"{FILE}: {test} {how}")
