"""Makes property tests deterministic, and lets listed known failures fail without failing the run.

With `-n auto`, half as many workers as cores run in parallel; each worker reads the list of known failures.
"""

import os

import pytest
from hypothesis import settings
from support import known_failures

CORES_PER_WORKER = 2  # a network test uses two: its own process and the softswitch

settings.register_profile("same", derandomize=True, database=None, deadline=None)
settings.load_profile("same")


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_auto_num_workers(config):
    return max(1, (os.cpu_count() or 1) // CORES_PER_WORKER)


def check_known_failures(config, tests):
    """Ends the run if the list names an unknown test, unless only a selection of tests is run."""
    if config.args_source == config.ArgsSource.ARGS:
        return
    try:
        known_failures.check_tests(config.known_failures, tests)
    except known_failures.ListError as e:
        pytest.exit(str(e), pytest.ExitCode.USAGE_ERROR)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node, ids):
    """Called in the process that starts the workers: workers can't tell a selection from all tests."""
    check_known_failures(node.config, set(ids))


def pytest_configure(config):
    listed = known_failures.FILE.read_text() if known_failures.FILE.exists() else ""
    try:
        config.known_failures = known_failures.read(listed)
    except known_failures.ListError as e:
        raise pytest.UsageError(str(e)) from None


def pytest_collection_modifyitems(config, items):
    if not hasattr(config, "workerinput"):
        check_known_failures(config, {item.nodeid for item in items})
    for item in items:
        failure = config.known_failures.get(item.nodeid)
        if failure is not None:
            item.add_marker(pytest.mark.xfail(reason=failure.seen, strict=False))


def pytest_terminal_summary(terminalreporter, config):
    terminalreporter.write_line(known_failures.summary(config.known_failures))
    for test, failure in config.known_failures.items():
        outcome = known_failures.outcome_of(test, terminalreporter.stats)
        terminalreporter.write_line(known_failures.report(failure, outcome))
