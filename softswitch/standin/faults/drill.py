"""Real softswitches on loopback with relays between them, a schedule of faults, callers, and a checker.

The checker asks each process for its view once in 100 ms and holds all against each other and against what is
true. What was done when is kept, and is a schedule again.
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
from softswitch.standin.faults.relay import CHECK, Relay
from softswitch.standin.faults.schedule import Fault, selected
from softswitch.standin.fleet import ClassSettings, Day, Fleet
from softswitch.standin.http_query import Query, if_ok
from softswitch.standin.traffic import StreamSettings

LOOK = 0.1  # s between two looks at all views
ADDED = 0.4  # s between two times that budgets are added up
ASKED = 0.8  # s that a process may take to tell its view
PEER_PORT, MGMT_PORT = 7_946, 15_000  # at each one's own address
AGAIN_AFTER = 0.1  # s between two tries to start one whose process before has not ended yet


@dataclass(slots=True)
class Event:
    """A fault as it was played, and what was seen of it. Times in seconds of the day."""

    fault: Fault
    began: float
    ended: float | None = None
    known: float | None = None  # after `began`, until the last process knew; of faults that end processes
    settled: float | None = None  # after `ended` (or `began`), until all views were equal and true


@dataclass(slots=True)
class Seen:
    """What a drill showed."""

    processes: int
    sites: int
    seed: int
    seconds: float
    settled: bool
    start_s: float | None
    events: list[Event]
    false_gone: list[str]
    calls: int
    carried: int
    cut: int
    unanswered: int
    second_answers: int
    wrong_descriptions: int
    looks: int
    unread: int  # views that were asked for and did not come
    budgets: dict[str, Any] = field(default_factory=dict)  # the whole, and the most held, spent and seen
    above: list[str] = field(default_factory=list)  # budgets of which more than the whole was seen

    def told(self) -> dict[str, Any]:
        """What was seen, for a JSON object."""
        faults = [
            {
                "what": e.fault.what,
                "who": list(e.fault.who),
                "began_s": round(e.began, 2),
                "ended_s": None if e.ended is None else round(e.ended, 2),
                "known_s": e.known,
                "settle_s": e.settled,
            }
            for e in self.events
        ]
        return {
            "settled": self.settled,
            "settle_s": [e.settled for e in self.events],
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
            "looks": self.looks,
            "unread": self.unread,
            **({"budgets": self.budgets, "above": self.above} if self.budgets else {}),
        }

    def schedule(self) -> bytes:
        """The faults as they were played, in the form of a schedule file."""
        return msgspec.json.encode([e.fault for e in self.events])


def day_of(softswitches: int, seconds: float, seed: int, rate: float, engines: int = 3) -> Day:
    """A day of two classes at a rate in calls a second; holding times are short, so that many calls end."""
    hold = {"price-check": 1.6, "save-quote": 2.4}
    return Day(
        engines=tuple(
            EngineSettings(f"s-{n + 1:08x}", n, 400, hold=hold, work=0.002) for n in range(engines)
        ),
        classes=(ClassSettings("price-check", 2.0, 1.6), ClassSettings("save-quote", 1.5, 2.4, worth=3.0)),
        streams=tuple(
            StreamSettings(name, rate * share / engines, n, number=str(n))
            for n in range(engines)
            for name, share in (("price-check", 0.78), ("save-quote", 0.22))
        ),
        seconds=seconds,
        softswitches=softswitches,
        seed=seed,
        answer_timeout=3.0,
    )


class Drill(Fleet):
    """Plays one drill. With `view` off the same processes, load and faults without the fleet's part; with
    `watched` off nobody asks for the views, so that what they cost by themselves can be measured.
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
        tables: str = "",
        periods: str = "",
        budgets: Sequence[dict[str, Any]] = (),
        heavy: float = 0.0,
        moves_s: float = 0.0,
        engines: int = 3,
        on_second: Callable[[Drill], None] | None = None,
    ) -> None:
        super().__init__(
            day_of(softswitches, seconds, seed, rate, engines),
            (lambda fleet: on_second(self)) if on_second else None,
        )
        self.view, self.tables, self.periods = view, tables, periods
        self.watched = view and watched
        self.budgets = list(budgets)
        self.audit = Audit(self.budgets) if budgets else None
        # One softswitch has this share of all calls; another one each so many seconds.
        self.heavy, self.moves_s, self.draws = heavy, moves_s, Random(seed + 1)
        if self.audit is not None:
            for engine in self.engines:
                engine.on_setup = self._came
        self.names = [f"n{n}" for n in range(softswitches)]
        self.sites = {name: "abcdefghijkl"[n % sites] for n, name in enumerate(self.names)}
        self.places = sites
        self.rng = Random(seed)
        self.links = Links(self.sites, self.rng)
        self.links.away |= set(self.names)
        self.faults = sorted(faults, key=lambda f: f.at_s)
        self.events: list[Event] = []
        hosts = own_hosts(softswitches)
        self.peer_at = [(host, PEER_PORT) for host in hosts]
        self.mgmt_at = [(host, MGMT_PORT) for host in hosts]
        self.relays: dict[tuple[int, int], Relay] = {}
        self.views: dict[int, Any] = {}
        self.asking: dict[int, float] = {}
        self.meant: dict[int, str] = dict.fromkeys(range(softswitches), "run")  # run, stopped, ended
        self.ready: set[int] = set()
        self.false_gone: dict[str, None] = {}
        self.looks = self.unread = 0
        self.start_s: float | None = None
        self.pipes: list[threading.Thread] = []

    # the processes

    def extra_configuration(self, n: int) -> dict[str, Any]:
        """The management address, at this process's own host."""
        return {"mgmt": f"{self.mgmt_at[n][0]}:{self.mgmt_at[n][1]}"}

    def operator_text(self, n: int) -> str:
        """The operator file: the fleet, reached through a relay for each of the others, and the budgets."""
        if not self.view:
            return self.tables
        dial = {}
        for m in range(len(self.names)):
            if m != n:
                relay = Relay(
                    self.reactor,
                    self.links,
                    self.names[n],
                    self.names[m],
                    self.peer_at[m],
                    self.rng.getrandbits(32),
                )
                self.relays[n, m] = relay
                dial[self._at(m)] = "{}:{}".format(*relay.listen())
        table = {
            "name": "drill",
            "address": self._at(n),
            "site": self.sites[self.names[n]],
            "seeds": [self._at(m) for m in range(min(3, len(self.names)))],
            "dial": dial,
            "folder": f"state-{n}",
        }
        text = f"fleet = {orjson.dumps(table).decode()[:-1]}{self.periods}}}\n{self.tables}"
        if self.budgets:
            everyone = [self._at(m) for m in range(len(self.names))]
            allocation = {
                "members": everyone,
                "voters": everyone[: min(5, len(everyone))],
                "record": 4_000 if self.watched else 0,
            }
            text += f"\nbudgets = {orjson.dumps(self.budgets).decode()}\n"
            text += f"allocation = {orjson.dumps(allocation).decode()}\n"
        return text

    def _at(self, n: int) -> str:
        return "{}:{}".format(*self.peer_at[n])

    def start_process(self, n: int) -> subprocess.Popen[bytes]:
        """Its log goes through a pipe: a limit on what the process may write must not hold up its log."""
        star = Path(self.dir.name, f"n{n}.star")
        env = os.environ | {"BALANCER_CONFIG": str(Path(self.dir.name, f"n{n}.json"))}
        env.pop("TMPDIR", None)
        env = environment.without(env, environment.OPERATOR_FILE)
        if star.exists():
            env["SOFTSWITCH_OPERATOR"] = str(star)
        made = subprocess.Popen(
            [sys.executable, "-m", "softswitch"],
            cwd=Path(__file__).parents[3],
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

        def copy() -> None:
            assert made.stdout is not None
            with open(self.logs[n], "ab") as out:
                for line in made.stdout:
                    out.write(line)
                    out.flush()

        thread = threading.Thread(target=copy, daemon=True)
        thread.start()
        self.pipes.append(thread)
        return made

    def should_run(self, n: int) -> bool:
        """Whether it is a fault if this one has ended."""
        return self.meant[n] != "ended"

    def callers_for(self, nth: int) -> Callers | None:
        """The callers of one that runs; one may get a larger share."""
        up = [c for n, c in enumerate(self.callers) if self.meant[n] == "run" and c.connection is not None]
        if self.heavy and up and self.draws.random() < self.heavy:
            return up[int(self.now() // self.moves_s) % len(up) if self.moves_s else 0]
        return up[nth % len(up)] if up else None

    def _softswitch_ready(self) -> None:
        super()._softswitch_ready()
        if self.ready_count == self.day.softswitches:
            self.links.away.clear()
            self.ready = set(range(len(self.names)))
            for fault in self.faults:
                self.reactor.callLater(fault.at_s, self._begin, fault)
            self._look()
            self._check()
            self._add_up()

    # the faults

    def now(self) -> float:
        """Seconds of the day."""
        return float(self.reactor.seconds()) - self.started_at

    def _begin(self, fault: Fault) -> None:
        if self.ending:
            return
        event = Event(fault, self.now())
        self.events.append(event)
        on = self.links.begin(self.now() * 1000, fault)
        members = [self.names.index(name) for name in selected(fault.who, self.sites)]
        for n in members:
            self._do(n, fault)
        if fault.what == "flood":
            self._flood(fault, members)
        if fault.for_s:
            self.reactor.callLater(fault.for_s, self._end, event, on, members)
        else:
            event.ended = event.began

    def _do(self, n: int, fault: Fault) -> None:
        program, name = self.programs[n], self.names[n]
        if fault.what in ("kill", "restart", "leave"):
            if self.meant[n] == "ended":
                return
            if self.meant[n] == "stopped":
                program.send_signal(signal.SIGCONT)
            self.meant[n] = "ended"
            self.links.away.add(name)
            self.ready.discard(n)
            self.views.pop(n, None)
            if self.audit is not None:
                self.audit.ended(n)
            program.send_signal(signal.SIGKILL if fault.what == "kill" else signal.SIGTERM)
        elif fault.what == "stop" and self.meant[n] == "run":
            self.meant[n] = "stopped"
            self.links.away.add(name)
            program.send_signal(signal.SIGSTOP)
        elif fault.what == "disk full":
            resource.prlimit(program.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
        elif fault.what == "disk read-only":
            # The folder's place is taken by a file: nothing can be opened or renamed there, whoever asks.
            folder = Path(self.dir.name, f"state-{n}")
            if folder.is_dir():
                folder.rename(folder.with_suffix(".away"))
                folder.write_bytes(b"")

    def _end(self, event: Event, on: Any, members: list[int]) -> None:
        if self.ending:
            return
        fault, now = event.fault, self.now()
        if on is not None:
            self.links.end(now * 1000, on)
        else:
            self.links.touch(now * 1000, [self.names[n] for n in members])
        for n in members:
            if fault.what in ("kill", "restart", "leave"):
                self._again(n)
            elif fault.what == "stop" and self.meant[n] == "stopped":
                self.meant[n] = "run"
                self.links.away.discard(self.names[n])
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
        event.ended = now

    def _again(self, n: int) -> None:
        """Started anew once the process before has ended."""
        if self.ending or self.meant[n] == "run":
            return
        if self.programs[n].poll() is None:
            self.reactor.callLater(AGAIN_AFTER, self._again, n)
            return
        self.meant[n] = "run"
        self.programs[n] = self.start_process(n)
        self.links.touch(self.now() * 1000, (self.names[n],))

    def _flood(self, fault: Fault, members: list[int]) -> None:
        """A stranger's datagrams: noise, and messages that look right but for the fleet's name."""
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        out.setblocking(False)
        ends = self.now() + fault.for_s if fault.for_s else 1e9
        every = 0.02

        def some() -> None:
            if self.ending or self.now() > ends:
                return out.close()
            for n in members:
                for _ in range(round(fault.per_s * every)):
                    data = self.rng.randbytes(self.rng.choice((1, 40, 300)))
                    with contextlib.suppress(OSError):
                        out.sendto(data, self.peer_at[n])
            self.reactor.callLater(every, some)
            return None

        some()

    # the checker

    def _check(self) -> None:
        for relay in self.relays.values():
            relay.check()
        if not self.ending:
            self.reactor.callLater(CHECK, self._check)

    def _look(self) -> None:
        """Asks all at once; what they say is held against each other as it has come."""
        if self.ending or not self.watched:
            return
        self._judge()
        for n in range(len(self.names)):
            if self.meant[n] == "run" and n not in self.asking:
                self.asking[n] = self.now()
                self.looks += 1
                factory = Query("GET /v1/fleet", if_ok(partial(self._answered, n)))
                self.reactor.connectTCP(*self.mgmt_at[n], factory, timeout=ASKED)
            elif n in self.asking and self.now() - self.asking[n] > 5.0:
                del self.asking[n]
        self.reactor.callLater(LOOK, self._look)

    def _add_up(self) -> None:
        """Asks all what they hold, and what they spent."""
        if self.audit is None or self.ending or not self.watched:
            return
        for n in range(len(self.names)):
            if self.meant[n] == "run":
                asked = [("/v1/budgets", partial(self._holds, n))]
                asked += [
                    (f"/v1/budgets/{name}", partial(self._spent, n, name))
                    for name, book in self.audit.books.items()
                    if book.what in ("set-ups", "repeats")
                ]
                for path, done in asked:
                    self.reactor.connectTCP(
                        *self.mgmt_at[n], Query(f"GET {path}", if_ok(done)), timeout=ASKED
                    )
        self.reactor.callLater(ADDED, self._add_up)

    def _holds(self, n: int, view: Any) -> None:
        if view is not None and "budgets" in view and self.audit is not None:
            self.audit.holds(n, view)

    def _spent(self, n: int, name: str, said: Any) -> None:
        if said is not None and "spent_ms" in said and self.audit is not None:
            self.audit.spent(n, name, said["spent_ms"])

    def _came(self, call: str, klass: str) -> None:
        if self.audit is not None:
            self.audit.came(self.reactor.seconds() * 1000.0, call, klass)

    def _answered(self, n: int, view: Any) -> None:
        self.asking.pop(n, None)
        if view is None or "members" not in view:
            self.unread += 1
            return
        if self.meant[n] != "run":
            return
        if n not in self.ready:  # the process that was started anew tells its view
            self.ready.add(n)
            self.links.away.discard(self.names[n])
            self.links.touch(self.now() * 1000, (self.names[n],))
        before, self.views[n] = self.views.get(n), view
        for member in view["members"]:
            if member["state"] != "gone" or member["name"] not in self.sites:
                continue
            said = f"{self.names[n]} of {member['name']}, incarnation {member['incarnation']}"
            same = ("name", "state", "incarnation")
            known = before is not None and any(
                all(m[key] == member[key] for key in same) for m in before["members"]
            )
            # What is said of a life that truly ended, by one who only now hears of it, accuses nobody.
            own = self.views.get(self.names.index(member["name"]), {"members": ()})
            runs = any(
                m["name"] == member["name"] and m["boot"] == member["boot"] and m["state"] == "alive"
                for m in own["members"]
            )
            excused = self.links.excused(self.now() * 1000, self.names[n], member["name"])
            if runs and not known and not excused:
                self.false_gone.setdefault(said)

    def agree(self) -> bool:
        """All running processes tell one view, and it is true."""
        running = [n for n in range(len(self.names)) if self.meant[n] == "run"]
        if any(n not in self.views or n not in self.ready for n in running):
            return False
        if len({self.views[n]["digest"] for n in running}) > 1:
            return False
        if not running:
            return True
        alive = {m["name"] for m in self.views[running[0]]["members"] if m["state"] == "alive"}
        return alive == {self.names[n] for n in running}

    def _judge(self) -> None:
        now = self.now()
        agreed = self.agree()
        if agreed and self.start_s is None:
            self.start_s = round(now, 2)
        for e in self.events:
            if agreed and e.settled is None and e.ended is not None and now > e.ended + LOOK:
                e.settled = round(now - e.ended, 2)
            if e.fault.what in ("kill", "leave", "restart") and e.known is None and now > e.began + LOOK:
                dead = set(selected(e.fault.who, self.sites))
                running = [
                    n
                    for n in self.views
                    if self.meant[n] == "run" and n in self.ready and self.names[n] not in dead
                ]
                if running and all(
                    m["state"] not in ("alive", "joining")
                    for n in running
                    for m in self.views[n]["members"]
                    if m["name"] in dead
                ):
                    e.known = round(now - e.began, 2)

    def _stop(self) -> None:
        if not self.ending:
            self._judge()
            for n, program in enumerate(self.programs):
                if self.meant[n] == "stopped" and program.poll() is None:
                    program.send_signal(signal.SIGCONT)
        super()._stop()

    def _end_programs(self) -> None:
        for relay in self.relays.values():
            relay.stop()
        super()._end_programs()
        for thread in self.pipes:
            thread.join(2.0)

    def seen(self) -> Seen:
        """Plays the drill and tells what it showed. FleetFailed if a softswitch did not come up or ended."""
        result = self.run()
        total = result.total()
        settled = self.start_s is not None and all(e.settled is not None for e in self.events)
        settled |= not self.watched
        return Seen(
            len(self.names),
            self.places,
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
            self.looks,
            self.unread,
            self.audit.told() if self.audit else {},
            self.audit.above() if self.audit else [],
        )
