"""Exports counters and durations over OTLP/HTTP with the `opentelemetry` packages. Off unless configured.

The exporter sends in its own thread. The reactor's thread only counts, and never waits for the collector.
While the collector is down, no data is buffered: the values are cumulative, and a failed export is skipped.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Iterable
from typing import Any

from loguru import logger

from softswitch.core.counters import Duration
from softswitch.core.switch import Switch

ENDPOINT = "OTEL_EXPORTER_OTLP_ENDPOINT"
EXPORT_INTERVAL = "OTEL_METRIC_EXPORT_INTERVAL"  # ms; the packages read it too
TIMEOUT = 2.0  # s for one export
BUCKETS = [5, 10, 25, 50, 100, 250, 500, 1000, 2000, 5000, 10000, 30000, 60000]  # boundaries in ms


class Telemetry:
    """Exports the counters and durations of the switch to one collector, as OTLP metrics."""

    def __init__(self, endpoint: str, name: str, switch: Switch, interval_ms: float) -> None:
        # Imported here, so that a softswitch without telemetry doesn't need the memory of the packages.
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
        from opentelemetry.sdk.resources import Resource

        for noisy in ("opentelemetry", "urllib3", "requests"):
            logging.getLogger(noisy).addHandler(RateLimitedHandler())
            logging.getLogger(noisy).propagate = False
        exporter = OTLPMetricExporter(endpoint=endpoint.rstrip("/") + "/v1/metrics", timeout=TIMEOUT)
        reader = PeriodicExportingMetricReader(exporter, interval_ms, export_timeout_millis=1000 * TIMEOUT)
        resource = Resource.create({"service.name": "willowhitch", "service.instance.id": name})
        self.provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        meter = self.provider.get_meter("willowhitch")

        def counters(_: Any) -> Iterable[Observation]:
            # `dict` copies atomically, while the reactor's thread may add a counter.
            return [Observation(n, {"what": str(what)}) for what, n in dict(switch.counters).items()]

        def current_calls(_: Any) -> Iterable[Observation]:
            return [
                Observation(switch.calls.unanswered, {"state": "setting up"}),
                Observation(len(switch.calls) - switch.calls.unanswered, {"state": "standing"}),
            ]

        meter.create_observable_counter("willowhitch.events", [counters], description="what was counted")
        meter.create_observable_gauge("willowhitch.calls", [current_calls], description="calls known now")
        self.histograms = {
            what: meter.create_histogram(
                f"willowhitch.{what.value}.duration", "ms", explicit_bucket_boundaries_advisory=BUCKETS
            )
            for what in Duration
        }
        switch.on_duration = self.record_duration

    def record_duration(self, what: Duration, ms: float) -> None:
        """Records a duration, in ms."""
        self.histograms[what].record(ms)

    def stop(self) -> None:
        """Exports the last values, and gives up after TIMEOUT."""
        try:
            self.provider.shutdown(timeout_millis=1000 * TIMEOUT)
        except Exception as e:
            logger.warning("telemetry: {}", e)


class RateLimitedHandler(logging.Handler):
    """Logs warnings of the packages in one line, at most one a minute: a collector may be down for long."""

    last_warning_at = -60.0

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a warning, at most one in 60 s."""
        if record.levelno >= logging.WARNING and record.created - RateLimitedHandler.last_warning_at >= 60.0:
            RateLimitedHandler.last_warning_at = record.created
            logger.warning("telemetry: {}", record.getMessage().splitlines()[0][:200])


def start(name: str, switch: Switch) -> Telemetry | None:
    """Starts the export if the environment names a collector; raises ValueError for invalid settings."""
    endpoint = os.environ.get(ENDPOINT, "")
    if not endpoint:
        return None
    interval_ms = float(os.environ.get(EXPORT_INTERVAL) or 10_000.0)
    if not endpoint.startswith(("http://", "https://")) or not interval_ms >= 100:
        raise ValueError(f"{ENDPOINT} must be an http or https URL, and {EXPORT_INTERVAL} at least 100")
    return Telemetry(endpoint, name, switch, interval_ms)
