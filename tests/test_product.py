"""Telemetry with a stand-in collector; the agent and its command line with real softswitches."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from threading import Thread

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from support.harness import ROOT, Stage

from softswitch import cli


class Collector(HTTPServer):
    """An OTLP collector that stores the exports it receives and answers each after `slow` seconds."""

    def __init__(self, slow=0.0):
        exports, self.exports = [], []

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                time.sleep(slow)
                exports.append((self.path, ExportMetricsServiceRequest.FromString(body)))
                self.send_response(200)
                self.end_headers()

            def log_message(self, *_):
                pass

        super().__init__(("127.0.0.1", 0), Handler)
        self.exports = exports
        Thread(target=self.serve_forever, daemon=True).start()

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server_address[1]}"

    def latest(self):
        """Returns the metrics of the latest export, by name."""
        _, request = self.exports[-1]
        return {m.name: m for r in request.resource_metrics for s in r.scope_metrics for m in s.metrics}


CALL = """
    c0 send INVITE {n}
    e0 expect SET_UP
    e0 send ANSWER {n} 33=d
    c0 expect 200 OK
    e0 send RELEASE {n} 31=16
    c0 expect ^BYE
    """


def telemetry(endpoint):
    return {"OTEL_EXPORTER_OTLP_ENDPOINT": endpoint, "OTEL_METRIC_EXPORT_INTERVAL": "200"}


class Telemetry(unittest.TestCase):
    def test_counters_and_durations_reach_a_collector(self):
        collector = Collector()
        with Stage(env=telemetry(collector.url)) as s:
            for n in (1, 2, 3):
                s.play(CALL.format(n=n))
            s.play("p send SIGTERM\np expect 0")
        collector.shutdown()
        metrics = collector.latest()
        counts = {
            p.attributes[0].value.string_value: p.as_int
            for p in metrics["willowhitch.events"].sum.data_points
        }
        assert collector.exports[-1][0] == "/v1/metrics"
        assert (counts["set-ups"], counts["stood"], counts["ended"]) == (3, 3, 3)
        for duration in ("set-up", "call"):
            (point,) = metrics[f"willowhitch.{duration}.duration"].histogram.data_points
            assert point.count == 3
            assert 0 <= point.sum < 5000
        attributes = collector.exports[-1][1].resource_metrics[0].resource.attributes
        assert {a.key: a.value.string_value for a in attributes}["service.instance.id"] == "n0"

    def test_a_collector_that_is_down_or_hangs_delays_no_calls(self):
        hangs = Collector(slow=30.0)
        for endpoint in ("http://127.0.0.1:9", hangs.url):
            with self.subTest(endpoint), Stage(env=telemetry(endpoint)) as s:
                until, n, max_duration = time.monotonic() + 2.5, 0, 0.0
                while time.monotonic() < until:
                    n, started_at = n + 1, time.monotonic()
                    s.play(CALL.format(n=n))
                    max_duration = max(max_duration, time.monotonic() - started_at)
                assert n > 50 and max_duration < 0.5, (n, max_duration)
                assert s.log_text().count("telemetry") <= 1, s.log_text()  # at most one line per minute
                s.play("p send SIGTERM")
                assert s.program.wait(10) == 0

    def test_off_unless_configured_and_an_invalid_address_is_reported_in_one_line(self):
        with Stage() as s:
            maps = Path(f"/proc/{s.program.pid}/maps").read_text()
            assert "opentelemetry" not in maps
            assert len(os.listdir(f"/proc/{s.program.pid}/task")) == 1
        stage = Stage(env=telemetry("nowhere"))
        assert stage.program.wait(10) == 2 and stage.log_text().count("\n") == 1, stage.log_text()
        stage.__exit__()


class Supervision(unittest.TestCase):
    """An agent with two softswitches, controlled through the functions of the command line."""

    def setUp(self):
        self.stages = [Stage(), Stage()]
        for (
            stage
        ) in self.stages:  # only their configurations and stand-ins are used; the agent starts the programs
            stage.program.kill()
            stage.program.wait()
        self.dir = tempfile.TemporaryDirectory()
        self.socket = str(Path(self.dir.name, "agent.sock"))
        self.file = Path(self.dir.name, "agent.toml")
        self.file.write_text(
            'socket = "agent.sock"\n'
            + "".join(
                f'[[instance]]\nname = "n{k}"\nconfig = "{s.config}"\n' for k, s in enumerate(self.stages)
            )
        )
        self.log = open(Path(self.dir.name, "log"), "w+")
        self.agent = subprocess.Popen(
            [sys.executable, "-m", "softswitch.cli", "agent", str(self.file)], cwd=ROOT, stderr=self.log
        )

    def tearDown(self):
        if self.agent.poll() is None:
            self.agent.send_signal(signal.SIGTERM)
            try:
                self.agent.wait(20)
            finally:
                self.agent.kill()
        for stage in self.stages:
            stage.__exit__()
        self.log.close()
        self.dir.cleanup()

    def until(self, condition, seconds=12.0):
        """Polls the agent's status until the condition holds."""
        end, last = time.monotonic() + seconds, None
        while time.monotonic() < end:
            try:
                last = {i["name"]: i for i in cli.send_request(self.socket, "status", None)["instances"]}
                if condition(last):
                    return last
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise AssertionError(f"{last}\n{Path(self.log.name).read_text()}")

    def check_serving(self, *ks):
        for k in ks:
            self.stages[k].parties.clear()
            self.stages[k].program = self.agent
            self.stages[k].play("c0 send OPTIONS\nc0 expect 200 OK")

    def test_agent_starts_restarts_with_back_off_drains_and_stops(self):
        first = self.until(lambda s: all(i["state"] == "running" for i in s.values()))
        self.check_serving(0, 1)
        os.kill(first["n0"]["pid"], signal.SIGKILL)  # after a crash it is started again with a delay
        self.until(lambda s: s["n0"]["state"] == "waiting")
        restarted = self.until(lambda s: s["n0"]["state"] == "running")
        assert restarted["n0"]["pid"] != first["n0"]["pid"]
        assert restarted["n1"]["pid"] == first["n1"]["pid"]
        self.check_serving(0)
        assert cli.main(["restart", "n1", "--socket", self.socket]) == 0
        self.until(lambda s: s["n1"]["state"] == "draining")
        new = self.until(lambda s: s["n1"]["state"] == "running")
        assert new["n1"]["pid"] != first["n1"]["pid"]
        assert new["n1"]["starts"] == 2
        assert cli.main(["reload", "n1", "--socket", self.socket]) == 0
        self.agent.send_signal(signal.SIGHUP)  # the agent forwards SIGHUP to all instances and continues
        end = time.monotonic() + 8.0
        while Path(self.log.name).read_text().count("configuration reloaded") < 2:
            assert time.monotonic() < end, Path(self.log.name).read_text()
            time.sleep(0.05)
        assert cli.main(["drain", "n0", "--socket", self.socket]) == 0
        self.until(lambda s: s["n0"]["state"] == "drained" and s["n0"]["pid"] is None)
        assert cli.main(["status", "--socket", self.socket]) == 0
        assert cli.main(["drain", "n9", "--socket", self.socket]) == 1
        self.agent.send_signal(signal.SIGTERM)
        assert self.agent.wait(20) == 0
        assert cli.main(["status", "--socket", self.socket]) == 1
        log = Path(self.log.name).read_text()
        assert "n0 ended: " in log
        assert "draining all" in log
        assert "Traceback" not in log

    def test_the_restart_delay_doubles_for_an_instance_that_exits_at_once(self):
        self.stages[0].config.write_text("{}")
        started_at = time.monotonic()
        self.until(lambda s: s["n0"]["starts"] >= 3)
        assert time.monotonic() - started_at > 1.4  # the first delay is 0.5 s, the second 1 s
        self.until(lambda s: s["n1"]["state"] == "running")

    def test_an_invalid_file_or_message_is_reported_in_one_line(self):
        for text in (
            "",
            'socket = "s"',
            'socket = "s"\n[[instance]]\nname = "a"',
            'socket = "s"\n[[instance]]\nname="a"\nconfig="c"\nstrange=1',
        ):
            bad = Path(self.dir.name, "bad.toml")
            bad.write_text(text)
            result = subprocess.run(
                [sys.executable, "-m", "softswitch.cli", "agent", str(bad)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=20,
            )
            assert result.returncode == 2 and result.stderr.count("\n") == 1, result.stderr
        self.until(lambda s: True)
        assert "error" in cli.send_request(self.socket, "dance", None)
