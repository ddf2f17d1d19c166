"""Drills: real softswitches on loopback with relays between them, a schedule of faults, callers, a checker.

A view is the list of members that a process reports at GET /v1/fleet. The checker queries the views of all
processes every 100 ms and compares them with each other and with the true states. The faults that were run
can be written as a schedule, to run them again.
"""

from __future__ import annotations

import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import orjson

from softswitch import environment
from softswitch.standin.addresses import own_hosts
from softswitch.standin.caller import Callers
from softswitch.standin.engine import EngineSettings
from softswitch.standin.faults.audit import Audit
from softswitch.standin.faults.links import Links
from softswitch.standin.faults.relay import CHECK_INTERVAL, Relay
from softswitch.standin.faults.schedule import Fault, select_members
from softswitch.standin.fleet import ClassSettings, Day, Fleet
from softswitch.standin.http_query import Query, if_ok
from softswitch.standin.traffic import StreamSettings

VIEW_INTERVAL = 0.1  # s between two queries of all views
BUDGET_INTERVAL = 0.4  # s between two queries of all budgets
QUERY_TIMEOUT = 0.8  # s
PEER_PORT, MGMT_PORT = 7_946, 15_000  # each process has an address of its own
RESTART_RETRY_DELAY = 0.1  # s between two attempts to restart a process whose predecessor has not ended yet


@dataclass(slots=True)
class FaultEvent:
    """A fault that was run, and its observed effects. All times are in seconds."""

    fault: Fault
    started_at: float  # since the start of the run
    ended_at: float | None = None  # equal to `started_at` if the fault has no duration
    # For faults that end processes: time after `started_at` until all views showed that they ended.
    detected_after: float | None = None
    # Time after `ended_at` until all views were equal and correct.
    settled_after: float | None = None


@dataclass(slots=True)
class DrillReport:
    """The results of a drill."""

    processes: int
    sites: int
    seed: int
    seconds: float
    settled: bool  # all views were equal and correct at the start and after each fault
    start_s: float | None  # time until all views were equal and correct for the first time
    events: list[FaultEvent]
    false_gone: list[str]  # reports of members as gone that were running
    calls: int  # this and the next five: as in `caller.Tally`
    carried: int
    cut: int
    unanswered: int
    second_answers: int
    wrong_descriptions: int
    view_queries: int
    failed_queries: int  # queries that returned no view
    budgets: dict[str, Any] = field(default_factory=dict)  # by budget: total, and maximums of `audit.Audit`
    exceeded_budgets: list[str] = field(default_factory=list)  # names

    def to_dict(self) -> dict[str, Any]:
        """The results, for a JSON object, whose keys differ from the names of the fields."""
        faults = [
            {
                "what": e.fault.what,
                "who": list(e.fault.who),
                "began_s": round(e.started_at, 2),
                "ended_s": None if e.ended_at is None else round(e.ended_at, 2),
                "known_s": e.detected_after,
                "settle_s": e.settled_after,
            }
            for e in self.events
        ]
        return {
            "settled": self.settled,
            "settle_s": [e.settled_after for e in self.events],
            "start_s": self.start_s,
            "false_gone": len(self.false_gone),
            "falsely_gone": self.false_gone,
            "processes": self.processes,
            "sites": self.sites,
            "seed": self.seed,
            "seconds": self.seconds,
            "faults": faults,
            "calls": {
                "placed": self.calls,
                "stood": self.carried,
                "cut": self.cut,
                "unanswered": self.unanswered,
                "second_answers": self.second_answers,
                "wrong_descriptions": self.wrong_descriptions,
            },
            "looks": self.view_queries,
            "unread": self.failed_queries,
            **({"budgets": self.budgets, "above": self.exceeded_budgets} if self.budgets else {}),
        }

    def schedule(self) -> bytes:
        """The faults that were run, as the content of a schedule file."""
        return msgspec.json.encode([e.fault for e in self.events])


def make_day(softswitches: int, seconds: float, seed: int, rate: float, engines: int = 3) -> Day:
    """Makes a day with two call classes and a rate in calls per second.

    Holding times are short, so that many calls end during the run.
    """
    hold = {"price-check": 1.6, "save-quote": 2.4}
    return Day(
        engines=tuple(
            EngineSettings(f"s-{n + 1:08x}", n, 400, hold=hold, work=0.002) for n in range(engines)
        ),
        classes=(ClassSettings("price-check", 2.0, 1.6), ClassSettings("save-quote", 1.5, 2.4, worth=3.0)),
        streams=tuple(
            StreamSettings(name, rate * fraction / engines, n, number=str(n))
            for n in range(engines)
            for name, fraction in (("price-check", 0.78), ("save-quote", 0.22))
        ),
        seconds=seconds,
        softswitches=softswitches,
        seed=seed,
        answer_timeout=3.0,
    )


class Drill(Fleet):
    """Runs one drill.

    Without `view` the softswitches form no fleet; load and faults are the same. Without `watched` the checker
    queries neither views nor budgets, so that the cost of the views alone can be measured. `heavy` is the
    fraction of all calls that one softswitch gets on top of its equal part; every `moves_s` seconds another
    softswitch gets it (0: never). `operator_tables` is added to the operator files, `fleet_keys` to the fleet
    table in them.
    """

    def __init__(
        self,
        softswitches: int,
        sites: int,
        seconds: float,
        seed: int,
        faults: Sequence[Fault],
        rate: float = 24.0,
        view: bool = True,
        watched: bool = True,
        operator_tables: str = "",
        fleet_keys: str = "",
        budgets: Sequence[dict[str, Any]] = (),
        heavy: float = 0.0,
        moves_s: float = 0.0,
        engines: int = 3,
        on_second: Callable[[Drill], None] | None = None,
    ) -> None:
        super().__init__(
            make_day(softswitches, seconds, seed, rate, engines),
            (lambda fleet: on_second(self)) if on_second else None,
        )
        self.view, self.operator_tables, self.fleet_keys = view, operator_tables, fleet_keys
        self.watched = view and watched
        self.budgets = list(budgets)
        self.audit = Audit(self.budgets) if budgets else None
        self.heavy, self.moves_s, self.caller_rng = heavy, moves_s, Random(seed + 1)
        if self.audit is not None:
            for engine in self.engines:
                engine.on_setup = self._setup_received
        self.names = [f"n{n}" for n in range(softswitches)]
        self.sites = {name: "abcdefghijkl"[n % sites] for n, name in enumerate(self.names)}
        self.site_count = sites
        self.rng = Random(seed)
        self.links = Links(self.sites, self.rng)
        self.links.unavailable |= set(self.names)
        self.faults = sorted(faults, key=lambda f: f.at_s)
        self.events: list[FaultEvent] = []
        hosts = own_hosts(softswitches)
        self.peer_addresses = [(host, PEER_PORT) for host in hosts]
        self.mgmt_addresses = [(host, MGMT_PORT) for host in hosts]
        self.relays: dict[tuple[int, int], Relay] = {}
        self.views: dict[int, Any] = {}  # latest view, by process
        self.queried_at: dict[int, float] = {}  # by process: time of its query in flight
        # By process: "run", "stopped" (paused by SIGSTOP) or "ended".
        self.expected_state: dict[int, str] = dict.fromkeys(range(softswitches), "run")
        self.ready: set[int] = set()  # running processes; a restarted one once it has reported a view
        self.false_gone: dict[str, None] = {}  # set of reports, in order
        self.view_queries = self.failed_queries = 0
        self.start_s: float | None = None
        self.log_threads: list[threading.Thread] = []

    # the processes

    def extra_configuration(self, n: int) -> dict[str, Any]:
        """The management address, on the process's own host."""
        return {"mgmt": f"{self.mgmt_addresses[n][0]}:{self.mgmt_addresses[n][1]}"}

    def operator_text(self, n: int) -> str:
        """The operator file: the fleet, with a relay to each other process, and the budgets."""
        if not self.view:
            return self.operator_tables
        dial = {}
        for m in range(len(self.names)):
            if m != n:
                relay = Relay(
                    self.reactor,
                    self.links,
                    self.names[n],
                    self.names[m],
                    self.peer_addresses[m],
                    self.rng.getrandbits(32),
                )
                self.relays[n, m] = relay
                dial[self._peer_address(m)] = "{}:{}".format(*relay.listen())
        table = {
            "name": "drill",
            "address": self._peer_address(n),
            "site": self.sites[self.names[n]],
            "seeds": [self._peer_address(m) for m in range(min(3, len(self.names)))],
            "dial": dial,
            "folder": f"state-{n}",
        }
        text = f"fleet = {orjson.dumps(table).decode()[:-1]}{self.fleet_keys}}}\n{self.operator_tables}"
        if self.budgets:
            addresses = [self._peer_address(m) for m in range(len(self.names))]
            allocation = {
                "members": addresses,
                "voters": addresses[: min(5, len(addresses))],
                "record": 4_000 if self.watched else 0,
            }
            text += f"\nbudgets = {orjson.dumps(self.budgets).decode()}\n"
            text += f"allocation = {orjson.dumps(allocation).decode()}\n"
        return text

    def _peer_address(self, n: int) -> str:
        return "{}:{}".format(*self.peer_addresses[n])

    def start_process(self, n: int) -> subprocess.Popen[bytes]:
        """Starts a softswitch, with its log through a pipe.

        A thread of this process writes the log to its file, since `disk full` limits the size of files that
        the softswitch itself writes.
        """
        star = Path(self.dir.name, f"n{n}.star")
        env = os.environ | {"BALANCER_CONFIG": str(Path(self.dir.name, f"n{n}.json"))}
        env.pop("TMPDIR", None)
        env = environment.without(env, environment.OPERATOR_FILE)
        if star.exists():
            env["SOFTSWITCH_OPERATOR"] = str(star)
        process = subprocess.Popen(
            [sys.executable, "-m", "softswitch"],
            cwd=Path(__file__).parents[3],
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

        def copy() -> None:
            assert process.stdout is not None
            with open(self.logs[n], "ab") as out:
                for line in process.stdout:
                    out.write(line)
                    out.flush()

        thread = threading.Thread(target=copy, daemon=True)
        thread.start()
        self.log_threads.append(thread)
        return process

    def should_run(self, n: int) -> bool:
        """Whether it is an error if this softswitch has ended."""
        return self.expected_state[n] != "ended"

    def callers_for(self, nth: int) -> Callers | None:
        """The callers that place this call, at a running softswitch; with `heavy`, one gets more calls."""
        running = [
            c
            for n, c in enumerate(self.callers)
            if self.expected_state[n] == "run" and c.connection is not None
        ]
        if self.heavy and running and self.caller_rng.random() < self.heavy:
            return running[int(self.now() // self.moves_s) % len(running) if self.moves_s else 0]
        return running[nth % len(running)] if running else None

    def _softswitch_ready(self) -> None:
        super()._softswitch_ready()
        if self.ready_count == self.day.softswitches:
            self.links.unavailable.clear()
            self.ready = set(range(len(self.names)))
            for fault in self.faults:
                self.reactor.callLater(fault.at_s, self._start_fault, fault)
            self._query_views()
            self._check_relays()
            self._query_budgets()

    # the faults

    def now(self) -> float:
        """Seconds since the start of the run."""
        return float(self.reactor.seconds()) - self.started_at

    def _start_fault(self, fault: Fault) -> None:
        if self.ending:
            return
        event = FaultEvent(fault, self.now())
        self.events.append(event)
        active = self.links.begin(self.now() * 1000, fault)
        members = [self.names.index(name) for name in select_members(fault.who, self.sites)]
        for n in members:
            self._apply_to_process(n, fault)
        if fault.what == "flood":
            self._send_flood(fault, members)
        if fault.for_s:
            self.reactor.callLater(fault.for_s, self._end_fault, event, active, members)
        else:
            event.ended_at = event.started_at

    def _apply_to_process(self, n: int, fault: Fault) -> None:
        program, name = self.programs[n], self.names[n]
        if fault.what in ("kill", "restart", "leave"):
            if self.expected_state[n] == "ended":
                return
            if self.expected_state[n] == "stopped":
                program.send_signal(signal.SIGCONT)
            self.expected_state[n] = "ended"
            self.links.unavailable.add(name)
            self.ready.discard(n)
            self.views.pop(n, None)
            if self.audit is not None:
                self.audit.remove_process(n)
            program.send_signal(signal.SIGKILL if fault.what == "kill" else signal.SIGTERM)
        elif fault.what == "stop" and self.expected_state[n] == "run":
            self.expected_state[n] = "stopped"
            self.links.unavailable.add(name)
            program.send_signal(signal.SIGSTOP)
        elif fault.what == "disk full":
            resource.prlimit(program.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
        elif fault.what == "disk read-only":
            # A file replaces the folder: nobody, not even root, can open or rename files in it.
            folder = Path(self.dir.name, f"state-{n}")
            if folder.is_dir():
                folder.rename(folder.with_suffix(".away"))
                folder.write_bytes(b"")

    def _end_fault(self, event: FaultEvent, active: Any, members: list[int]) -> None:
        if self.ending:
            return
        fault, now = event.fault, self.now()
        if active is not None:
            self.links.end(now * 1000, active)
        else:
            self.links.mark_disturbed(now * 1000, [self.names[n] for n in members])
        for n in members:
            if fault.what in ("kill", "restart", "leave"):
                self._restart(n)
            elif fault.what == "stop" and self.expected_state[n] == "stopped":
                self.expected_state[n] = "run"
                self.links.unavailable.discard(self.names[n])
                self.programs[n].send_signal(signal.SIGCONT)
            elif fault.what == "disk full" and self.programs[n].poll() is None:
                resource.prlimit(
                    self.programs[n].pid,
                    resource.RLIMIT_FSIZE,
                    (resource.RLIM_INFINITY, resource.RLIM_INFINITY),
                )
            elif fault.what == "disk read-only":
                folder = Path(self.dir.name, f"state-{n}")
                if folder.is_file():
                    folder.unlink()
                    folder.with_suffix(".away").rename(folder)
        event.ended_at = now

    def _restart(self, n: int) -> None:
        """Starts the softswitch again once its predecessor has ended."""
        if self.ending or self.expected_state[n] == "run":
            return
        if self.programs[n].poll() is None:
            self.reactor.callLater(RESTART_RETRY_DELAY, self._restart, n)
            return
        self.expected_state[n] = "run"
        self.programs[n] = self.start_process(n)
        self.links.mark_disturbed(self.now() * 1000, (self.names[n],))

    def _send_flood(self, fault: Fault, members: list[int]) -> None:
        """Sends random datagrams to the members from a socket that belongs to no member."""
        flood_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        flood_socket.setblocking(False)
        end = self.now() + fault.for_s if fault.for_s else 1e9
        interval = 0.02

        def send_batch() -> None:
            if self.ending or self.now() > end:
                return flood_socket.close()
            for n in members:
                for _ in range(round(fault.per_s * interval)):
                    data = self.rng.randbytes(self.rng.choice((1, 40, 300)))
                    with contextlib.suppress(OSError):
                        flood_socket.sendto(data, self.peer_addresses[n])
            self.reactor.callLater(interval, send_batch)
            return None

        send_batch()

    # the checker

    def _check_relays(self) -> None:
        for relay in self.relays.values():
            relay.abort_cut_connections()
        if not self.ending:
            self.reactor.callLater(CHECK_INTERVAL, self._check_relays)

    def _query_views(self) -> None:
        """Evaluates the views received so far and queries all processes for their next views."""
        if self.ending or not self.watched:
            return
        self._update_events()
        for n in range(len(self.names)):
            if self.expected_state[n] == "run" and n not in self.queried_at:
                self.queried_at[n] = self.now()
                self.view_queries += 1
                factory = Query("GET /v1/fleet", if_ok(partial(self._view_received, n)))
                self.reactor.connectTCP(*self.mgmt_addresses[n], factory, timeout=QUERY_TIMEOUT)
            elif n in self.queried_at and self.now() - self.queried_at[n] > 5.0:  # no reply: query again
                del self.queried_at[n]
        self.reactor.callLater(VIEW_INTERVAL, self._query_views)

    def _query_budgets(self) -> None:
        """Queries all processes for the slots that they hold and for the times of spending."""
        if self.audit is None or self.ending or not self.watched:
            return
        for n in range(len(self.names)):
            if self.expected_state[n] == "run":
                queries = [("/v1/budgets", partial(self._budgets_received, n))]
                queries += [
                    (f"/v1/budgets/{name}", partial(self._spending_received, n, name))
                    for name, budget in self.audit.observed.items()
                    if budget.resource in ("set-ups", "repeats")
                ]
                for path, done in queries:
                    self.reactor.connectTCP(
                        *self.mgmt_addresses[n], Query(f"GET {path}", if_ok(done)), timeout=QUERY_TIMEOUT
                    )
        self.reactor.callLater(BUDGET_INTERVAL, self._query_budgets)

    def _budgets_received(self, n: int, view: Any) -> None:
        if view is not None and "budgets" in view and self.audit is not None:
            self.audit.record_held(n, view)

    def _spending_received(self, n: int, name: str, spending: Any) -> None:
        if spending is not None and "spent_ms" in spending and self.audit is not None:
            self.audit.record_spent(n, name, spending["spent_ms"])

    def _setup_received(self, call: str, call_class: str) -> None:
        if self.audit is not None:
            self.audit.record_arrival(self.reactor.seconds() * 1000.0, call, call_class)

    def _view_received(self, n: int, view: Any) -> None:
        self.queried_at.pop(n, None)
        if view is None or "members" not in view:
            self.failed_queries += 1
            return
        if self.expected_state[n] != "run":
            return
        if n not in self.ready:  # the first view of a restarted process
            self.ready.add(n)
            self.links.unavailable.discard(self.names[n])
            self.links.mark_disturbed(self.now() * 1000, (self.names[n],))
        previous, self.views[n] = self.views.get(n), view
        for member in view["members"]:
            if member["state"] != "gone" or member["name"] not in self.sites:
                continue
            report = f"{self.names[n]} of {member['name']}, incarnation {member['incarnation']}"
            same = ("name", "state", "incarnation")
            already_reported = previous is not None and any(
                all(m[key] == member[key] for key in same) for m in previous["members"]
            )
            # A late report about a process that really has ended is not false. `boot` identifies a process.
            own_view = self.views.get(self.names.index(member["name"]), {"members": ()})
            is_running = any(
                m["name"] == member["name"] and m["boot"] == member["boot"] and m["state"] == "alive"
                for m in own_view["members"]
            )
            exempt = self.links.is_exempt(self.now() * 1000, self.names[n], member["name"])
            if is_running and not already_reported and not exempt:
                self.false_gone.setdefault(report)

    def views_agree(self) -> bool:
        """Whether all running processes report the same view and it is correct."""
        running = [n for n in range(len(self.names)) if self.expected_state[n] == "run"]
        if any(n not in self.views or n not in self.ready for n in running):
            return False
        if len({self.views[n]["digest"] for n in running}) > 1:
            return False
        if not running:
            return True
        alive = {m["name"] for m in self.views[running[0]]["members"] if m["state"] == "alive"}
        return alive == {self.names[n] for n in running}

    def _update_events(self) -> None:
        now = self.now()
        agreed = self.views_agree()
        if agreed and self.start_s is None:
            self.start_s = round(now, 2)
        for e in self.events:
            if (
                agreed
                and e.settled_after is None
                and e.ended_at is not None
                and now > e.ended_at + VIEW_INTERVAL
            ):
                e.settled_after = round(now - e.ended_at, 2)
            if (
                e.fault.what in ("kill", "leave", "restart")
                and e.detected_after is None
                and now > e.started_at + VIEW_INTERVAL
            ):
                ended = set(select_members(e.fault.who, self.sites))
                running = [
                    n
                    for n in self.views
                    if self.expected_state[n] == "run" and n in self.ready and self.names[n] not in ended
                ]
                if running and all(
                    m["state"] not in ("alive", "joining")
                    for n in running
                    for m in self.views[n]["members"]
                    if m["name"] in ended
                ):
                    e.detected_after = round(now - e.started_at, 2)

    def _stop(self) -> None:
        if not self.ending:
            self._update_events()
            for n, program in enumerate(self.programs):
                if self.expected_state[n] == "stopped" and program.poll() is None:
                    program.send_signal(signal.SIGCONT)
        super()._stop()

    def _end_programs(self) -> None:
        for relay in self.relays.values():
            relay.stop()
        super()._end_programs()
        for thread in self.log_threads:
            thread.join(2.0)

    def run_and_report(self) -> DrillReport:
        """Runs the drill and returns its results.

        Raises FleetFailed if a softswitch did not start, or ended unexpectedly.
        """
        result = self.run()
        total = result.total()
        settled = self.start_s is not None and all(e.settled_after is not None for e in self.events)
        settled |= not self.watched
        return DrillReport(
            len(self.names),
            self.site_count,
            self.day.seed,
            self.day.seconds,
            settled,
            self.start_s,
            self.events,
            list(self.false_gone),
            total.calls,
            total.carried,
            total.cut,
            total.unanswered,
            total.second_answers,
            total.wrong_description,
            self.view_queries,
            self.failed_queries,
            self.audit.to_dict() if self.audit else {},
            self.audit.exceeded() if self.audit else [],
        )
