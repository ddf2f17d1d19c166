"""Runs one softswitch process: reads the configuration, serves until stopped, and reports startup errors."""

# ruff: noqa: E402, I001  # signals first, then lazy imports, then all others
from __future__ import annotations

from softswitch import signals

signals.start_recording()  # before the imports, which take time

import softswitch.lazy_import  # noqa: F401  # before the imports that would load the unused modules

import gc
import signal
import sys
from functools import partial
from typing import Any

from loguru import logger
from twisted.internet import reactor
from twisted.logger import globalLogBeginner

from softswitch import environment
from softswitch.configuration import ConfigurationError, load_configuration, load_operator_file
from softswitch.log_rate_limit import LogRateLimit
from softswitch.process.application import Application

EXIT_BAD_CONFIGURATION = 2
GC_THRESHOLDS = (10_000, 20, 20)  # arguments of gc.set_threshold
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def log_to_stderr(as_json: bool = False, **bound: str) -> None:
    """Configures the log on stderr, as plain lines or as JSON with the `bound` fields."""
    level = environment.variable(environment.LOG_LEVEL, "INFO")
    logger.remove()
    form: dict[str, Any] = {"serialize": True} if as_json else {"format": LOG_FORMAT}
    logger.add(sys.stderr, **form, backtrace=False, diagnose=False, level=level, filter=LogRateLimit())
    logger.configure(extra=dict(bound))


def log_fault(event: dict[str, Any]) -> None:
    """Logs an exception in a reactor callback in one line. The process continues."""
    failure = event.get("log_failure")
    if failure is not None:
        where = failure.getTraceback().strip().splitlines()[-2:]
        logger.error("fault: {!r} at {}", failure.value, where[0].strip())


def build() -> Application | None:
    """Builds and starts the softswitch. Returns None if a stop signal was received before.

    Raises ConfigurationError if it can't be started.
    """
    configuration = load_configuration()
    tables = load_operator_file()
    if tables and tables.logs.form == "json":
        log_to_stderr(as_json=True, softswitch=configuration.name)
    if signals.stop_requested():
        return None  # no caller was accepted yet
    try:
        application = Application(reactor, configuration, tables)
        application.start()
    except ConfigurationError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
        raise ConfigurationError(f"configuration: {type(e).__name__}: {e}") from None
    except Exception as e:
        raise ConfigurationError(str(e)) from None
    return application


def handle_signals(application: Application) -> None:
    """Installs the signal handlers, which run in the reactor's thread."""
    actions = {
        signal.SIGTERM: application.shutdown.begin,
        signal.SIGINT: application.shutdown.begin,
        signal.SIGUSR1: application.log_counters,
        signal.SIGHUP: application.reloader.reload,
    }
    signals.handle({number: partial(reactor.callFromThread, action) for number, action in actions.items()})


def main() -> int:
    """Runs the softswitch and returns the exit code."""
    log_to_stderr()
    try:
        application = build()
    except ConfigurationError as e:
        print(f"willowhitch: {e}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    if application is None:
        return 0
    if old_names := environment.deprecated_in_use():
        logger.warning("environment: {} deprecated, use SOFTSWITCH_*", ", ".join(old_names))
    globalLogBeginner.beginLoggingTo([log_fault], redirectStandardIO=False, discardBuffer=True)
    reactor.addSystemEventTrigger("before", "shutdown", application.log_counters)
    handle_signals(application)
    gc.collect()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.freeze()  # exempts the permanent startup objects from full collections, which keeps their pauses short
    reactor.run(installSignalHandlers=False)
    if application.failure:
        print(f"willowhitch: {application.failure}", file=sys.stderr)
    application.finish()
    return EXIT_BAD_CONFIGURATION if application.failure else 0


if __name__ == "__main__":
    sys.exit(main())
