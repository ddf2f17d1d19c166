"""Load on engines that warm up: 12 real softswitches, while half of the engines are restarted at once.

Compares softswitches that divide the capacity of an engine that warms up by budgets with softswitches that
each use a fixed 1/fleet_size of it, where fleet_size is right, twice too high and twice too low, and with
softswitches that ignore warm-up. The capacity of an engine that warms up is low, and the other engines can't
carry the whole load.

    python benchmarks/cold_engines.py [SEEDS] [HEAVY]      # a minute for each line and seed

HEAVY is the fraction of all calls at one softswitch.
"""

import json
import subprocess
import sys
from statistics import mean
from time import time

from softswitch.standin.board import ListedEngine
from softswitch.standin.engine import EngineSettings
from softswitch.standin.faults.drill import Drill

# CAPACITY: call setups per second of one engine; RATE: calls per second
SOFTSWITCHES, ENGINES, CAPACITY, RATE = 12, 4, 100.0, 270.0
# Fraction of its capacity that a restarted engine has at first; overload factor; seconds of warm-up.
INITIAL_CAPACITY, OVERLOAD_FACTOR, WARM_UP = 0.15, 2.0, 6.0
RESTART_AT, OBSERVED_FOR, SECONDS = 22.0, 14.0, 42.0  # s; of a run of SECONDS
BUDGETS = ({"name": "cold", "what": "cold", "whole": 1, "floor": 0.01},)
VARIANTS = {  # variant -> factor of fleet_size
    "budgets": 1.0,
    "fixed, fleet_size right": 1.0,
    "fixed, fleet_size twice too high": 2.0,
    "fixed, fleet_size twice too low": 0.5,
    "warm-up ignored": 1.0,
}


class RestartDrill(Drill):
    """A drill with engines that need to warm up; half of them are restarted at once."""

    def __init__(self, variant, seed, heavy):
        self.variant = variant
        divided = variant == "budgets"
        super().__init__(
            SOFTSWITCHES,
            3,
            SECONDS,
            seed,
            (),
            RATE,
            view=divided,
            watched=False,
            budgets=BUDGETS if divided else (),
            heavy=heavy,
            engines=ENGINES,
        )

    def _start(self):
        size = max(1, round(SOFTSWITCHES * VARIANTS[self.variant]))
        rules = (
            {
                "cold": WARM_UP * 1_000,
                "cold_from": INITIAL_CAPACITY,
                "overload_factor": OVERLOAD_FACTOR,
                "overload_for": 1_000.0,
            }
            if not self.variant.startswith("warm-up")
            else {}
        )
        settings = self.day.settings() | {"fleet_size": size, "rules": rules}
        self.day = type(
            "DayWithSettings",
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
                work=1 / CAPACITY / 1.4,
                warm_capacity=CAPACITY,
                warm_up=WARM_UP,
                initial_capacity=INITIAL_CAPACITY,
                overload_factor=OVERLOAD_FACTOR,
            )
            engine.on_started = self._announce
        super()._start()

    def _announce(self, engine):
        """Publishes the start of an engine in the endpoint list."""
        self.watch_server.change(
            ListedEngine(
                engine.settings.name, engine.address, engine.settings.cell, born_ms=int(time() * 1000) - 5
            )
        )

    def _softswitch_ready(self):
        super()._softswitch_ready()
        if self.ready_count == self.day.softswitches:
            self.reactor.callLater(RESTART_AT, self._restart_engines)
            self.reactor.callLater(RESTART_AT + OBSERVED_FOR, self._evaluate)

    def _established(self):
        return sum(t.carried for c in self.callers for t in c.tallies.values())

    def _attempts(self):
        return sum(t.tries for c in self.callers for t in c.tallies.values())

    def _restart_engines(self):
        self.before = self._established(), self._attempts()
        for engine in self.engines[: ENGINES // 2]:
            engine.restart()

    def _evaluate(self):
        # The peak number of call setups of a warming engine, in % of the number that overloads it.
        max_loads = [e.count["most of what a cold engine bears, %"] for e in self.engines[: ENGINES // 2]]
        self.results = {
            "fell": sum(e.count["fell"] for e in self.engines),  # failures of engines under overload
            "most %": max_loads,
            "stood": self._established() - self.before[0],  # calls established
            "tried": self._attempts() - self.before[1],  # attempts
        }


def run_drill(variant, seed, heavy):
    """Runs one drill in this process and prints its results as JSON."""
    drill = RestartDrill(variant, seed, heavy)
    drill.run()
    print(json.dumps(drill.results))


if __name__ == "__main__":
    if sys.argv[1:2] == ["one"]:
        run_drill(sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
    else:
        seeds, heavy = (sys.argv[1:] + ["2", "0.25"][len(sys.argv) - 1 :])[:2]
        seeds = int(seeds)
        print(
            f"{SOFTSWITCHES} softswitches, {ENGINES} engines with {CAPACITY:g} call setups per second each, "
            f"{RATE:g} calls per second, {float(heavy):.0%} at one; half of the engines restarted; "
            f"{OBSERVED_FOR:g} s"
        )
        for variant in VARIANTS:
            results = []
            for seed in range(1, seeds + 1):
                command = [sys.executable, __file__, "one", variant, str(seed), heavy]
                completed = subprocess.run(command, capture_output=True, text=True)
                if completed.returncode:
                    sys.exit(completed.stderr[-2000:])
                results.append(json.loads(completed.stdout.splitlines()[-1]))
            max_loads = [p for r in results for p in r["most %"]]
            established, attempts = (
                mean(r["stood"] / r["tried"] for r in results),
                mean(r["tried"] for r in results),
            )
            print(
                f"{variant}: engines failed under overload {sum(r['fell'] for r in results)} times; max load "
                f"of engines in warm-up, % of what they withstand: {max_loads}; "
                f"established {established:.3f} of {attempts:.0f}",
                flush=True,
            )
