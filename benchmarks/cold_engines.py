"""A release of half the engines at once under 12 real softswitches: what a cold engine gets, with its share
divided by budgets and by fixed parts of 1/fleet_size, that number being right, twice too high, twice too low;
beside them softswitches that know of no cold engines. The engines bear little while cold, and the others can
not carry the load of all.

    python benchmarks/cold_engines.py [SEEDS] [HEAVY]      # a minute for each line and seed
"""

import json
import subprocess
import sys
from statistics import mean
from time import time

from softswitch.standin.board import ListedEngine
from softswitch.standin.engine import EngineSettings
from softswitch.standin.faults.drill import Drill

SOFTSWITCHES, ENGINES, BEARS, RATE = 12, 4, 100.0, 270.0  # set-ups a second that one bears; calls a second
COLD_FROM, FACTOR, COLD_S = 0.15, 2.0, 6.0
RELEASE_AT, SEEN_FOR, SECONDS = 22.0, 14.0, 42.0
COLD = ({"name": "cold", "what": "cold", "whole": 1, "floor": 0.01},)
WAYS = {
    "budgets": 1.0,
    "fixed, right": 1.0,
    "fixed, twice too high": 2.0,
    "fixed, twice too low": 0.5,
    "nothing known of cold engines": 1.0,
}


class Release(Drill):
    """The drill with engines that start cold, and half of them started anew at once."""

    def __init__(self, way, seed, heavy):
        self.way = way
        divided = way == "budgets"
        super().__init__(
            SOFTSWITCHES,
            3,
            SECONDS,
            seed,
            (),
            RATE,
            view=divided,
            watched=False,
            budgets=COLD if divided else (),
            heavy=heavy,
            engines=ENGINES,
        )

    def _start(self):
        size = max(1, round(SOFTSWITCHES * WAYS[self.way]))
        rules = (
            {
                "cold": COLD_S * 1_000,
                "cold_from": COLD_FROM,
                "overload_factor": FACTOR,
                "overload_for": 1_000.0,
            }
            if not self.way.startswith("nothing")
            else {}
        )
        settings = self.day.settings() | {"fleet_size": size, "rules": rules}
        self.day = type(
            "Told",
            (),
            {
                "__getattr__": lambda me, name, day=self.day: getattr(day, name),
                "settings": lambda me: settings,
            },
        )()
        for engine in self.engines:
            engine.settings = EngineSettings(
                engine.settings.name,
                engine.settings.cell,
                400,
                hold=engine.settings.hold,
                work=1 / BEARS / 1.4,
                warm_capacity=BEARS,
                warm_up=COLD_S,
                initial_capacity=COLD_FROM,
                overload_factor=FACTOR,
            )
            engine.on_started = self._born
        super()._start()

    def _born(self, engine):
        self.board.change(
            ListedEngine(
                engine.settings.name, engine.address, engine.settings.cell, born_ms=int(time() * 1000) - 5
            )
        )

    def _softswitch_ready(self):
        super()._softswitch_ready()
        if self.ready_count == self.day.softswitches:
            self.reactor.callLater(RELEASE_AT, self._release)
            self.reactor.callLater(RELEASE_AT + SEEN_FOR, self._seen)

    def _stood(self):
        return sum(t.carried for c in self.callers for t in c.tallies.values())

    def _tried(self):
        return sum(t.tries for c in self.callers for t in c.tallies.values())

    def _release(self):
        self.before = self._stood(), self._tried()
        for engine in self.engines[: ENGINES // 2]:
            engine.restart()

    def _seen(self):
        most = [e.count["most of what a cold engine bears, %"] for e in self.engines[: ENGINES // 2]]
        self.shown = {
            "fell": sum(e.count["fell"] for e in self.engines),
            "most %": most,
            "stood": self._stood() - self.before[0],
            "tried": self._tried() - self.before[1],
        }


def one(way, seed, heavy):
    drill = Release(way, seed, heavy)
    drill.run()
    print(json.dumps(drill.shown))


if __name__ == "__main__":
    if sys.argv[1:2] == ["one"]:
        one(sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
    else:
        seeds, heavy = (sys.argv[1:] + ["2", "0.25"][len(sys.argv) - 1 :])[:2]
        seeds = int(seeds)
        print(
            f"{SOFTSWITCHES} softswitches, {ENGINES} engines of {BEARS:g} set-ups a second, {RATE:g} calls "
            f"a second, {float(heavy):.0%} at one; half of the engines started anew; {SEEN_FOR:g} s"
        )
        for way in WAYS:
            shown = []
            for seed in range(1, seeds + 1):
                words = [sys.executable, __file__, "one", way, str(seed), heavy]
                ran = subprocess.run(words, capture_output=True, text=True)
                if ran.returncode:
                    sys.exit(ran.stderr[-2000:])
                shown.append(json.loads(ran.stdout.splitlines()[-1]))
            most = [p for s in shown for p in s["most %"]]
            stood, tried = mean(s["stood"] / s["tried"] for s in shown), mean(s["tried"] for s in shown)
            print(
                f"{way}: engines fell {sum(s['fell'] for s in shown)} times; most that a cold one got, % "
                f"of what it bears: {most}; stood {stood:.3f} of {tried:.0f}",
                flush=True,
            )
