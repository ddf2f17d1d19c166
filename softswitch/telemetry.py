"""Counters and durations over OTLP/HTTP, by the `opentelemetry` packages. Off unless configured.

The exporter's own thread sends; the loop only counts. Nothing waits for a collector, and while it is down
nothing piles up: the figures are sums, and an export that fails is left out.
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
EVERY = "OTEL_METRIC_EXPORT_INTERVAL"  # ms; the packages read it too
TIMEOUT = 2.0  # s that one export may take
BOUNDS = [5, 10, 25, 50, 100, 250, 500, 1000, 2000, 5000, 10000, 30000, 60000]  # ms


class Telemetry:
    """What the switch counts, as OTLP metrics of one collector."""

    def __init__(self, endpoint: str, name: str, switch: Switch, every_ms: float) -> None:
        # Imported here: a softswitch without telemetry doesn't pay for the packages' memory.
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
        from opentelemetry.sdk.resources import Resource

        for noisy in ("opentelemetry", "urllib3", "requests"):
            logging.getLogger(noisy).addHandler(OneLine())
            logging.getLogger(noisy).propagate = False
        exporter = OTLPMetricExporter(endpoint=endpoint.rstrip("/") + "/v1/metrics", timeout=TIMEOUT)
        reader = PeriodicExportingMetricReader(exporter, every_ms, export_timeout_millis=1000 * TIMEOUT)
        resource = Resource.create({"service.name": "willowhitch", "service.instance.id": name})
        self.provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        meter = self.provider.get_meter("willowhitch")

        def counters(_: Any) -> Iterable[Observation]:
            # `dict` copies in one step: the loop's thread may add a counter meanwhile
            return [Observation(n, {"what": str(what)}) for what, n in dict(switch.counters).items()]

        def now(_: Any) -> Iterable[Observation]:
            return [
                Observation(switch.calls.unanswered, {"state": "setting up"}),
                Observation(len(switch.calls) - switch.calls.unanswered, {"state": "standing"}),
            ]

        meter.create_observable_counter("willowhitch.events", [counters], description="what was counted")
        meter.create_observable_gauge("willowhitch.calls", [now], description="calls known now")
        self.times = {
            what: meter.create_histogram(
                f"willowhitch.{what.value}.duration", "ms", explicit_bucket_boundaries_advisory=BOUNDS
            )
            for what in Duration
        }
        switch.on_duration = self.measured

    def measured(self, what: Duration, ms: float) -> None:
        """Records one duration, in ms."""
        self.times[what].record(ms)

    def stop(self) -> None:
        """The last figures go out, if the collector takes them in time."""
        try:
            self.provider.shutdown(timeout_millis=1000 * TIMEOUT)
        except Exception as e:
            logger.warning("telemetry: {}", e)


class OneLine(logging.Handler):
    """The packages' own complaints, one line each and one a minute: a collector may be down for long."""

    last = -60.0

    def emit(self, record: logging.LogRecord) -> None:
        """Passes on a warning of the OpenTelemetry library, one in 60 s at the most."""
        if record.levelno >= logging.WARNING and record.created - OneLine.last >= 60.0:
            OneLine.last = record.created
            logger.warning("telemetry: {}", record.getMessage().splitlines()[0][:200])


def start(name: str, switch: Switch) -> Telemetry | None:
    """Starts the export if the environment names a collector. ValueError if what it names is not usable."""
    endpoint = os.environ.get(ENDPOINT, "")
    if not endpoint:
        return None
    every = float(os.environ.get(EVERY) or 10_000.0)
    if not endpoint.startswith(("http://", "https://")) or not every >= 100:
        raise ValueError(f"{ENDPOINT} is an http address, and {EVERY} 100 or more")
    return Telemetry(endpoint, name, switch, every)
