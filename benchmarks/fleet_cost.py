"""Cost of the fleet view: processor time per call and mean setup time with and without it, in pairs of runs;
memory of a view of 1,000 members. `fleet_cost.py [PAIRS] [SECONDS] [SOFTSWITCHES] [WHAT]`;
WHAT is `view` (with and without the view) or `budgets` (the view with and without budgets). A day is one run
of softswitches with stand-ins (`standin.fleet.Day`).
"""

import subprocess
import sys
import tracemalloc
from dataclasses import replace
from pathlib import Path
from statistics import median

WARM_UP = 10.0  # s that are not measured: start, joining, and election of the first allocator


BUDGETS = (
    {"name": "quotes", "whole": 100_000, "floor": 10, "class": "price-check"},
    {"name": "again", "what": "repeats", "whole": 1_000, "over_s": 2},
    {"name": "cold", "what": "cold", "floor": 0.01},
)


def run_day(on, seconds, softswitches, seed, what="view"):
    """Runs a day; prints processor seconds per attempt, mean setup seconds and the established fraction."""
    from softswitch.standin.faults.drill import Drill

    class MeasuredDrill(Drill):
        def cpu_seconds(self):
            times = (Path(f"/proc/{p.pid}/schedstat").read_text().split()[0] for p in self.programs)
            return sum(map(int, times)) / 1e9

        def _start_counting(self):
            super()._start_counting()
            self.used = -self.cpu_seconds()

        def _finish_when_idle(self):
            if len(self.marks) == 1:
                self.used += self.cpu_seconds()
            super()._finish_when_idle()

    rate = 30.0 * softswitches
    view, budgets = (on, ()) if what == "view" else (True, BUDGETS if on else ())
    drill = MeasuredDrill(
        softswitches, 2, WARM_UP + seconds, seed, (), rate=rate, view=view, watched=False, budgets=budgets
    )
    drill.day = replace(drill.day, warm_up=WARM_UP, seconds=seconds)
    total = drill.run().total()
    print(drill.used / total.tries, total.delay_s / max(1, total.carried), total.carried / total.tries)


def run_in_process(on, seconds, softswitches, seed, what):
    """Runs a day in a separate process and returns the figures that it prints."""
    command = [sys.executable, __file__, "day", str(int(on)), seconds, softswitches, str(seed), what]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    return [float(word) for word in completed.stdout.split()]


def measure_memory(n=1_000):
    """Prints the memory of a view of n members."""
    from softswitch.fleet.member import Member, Periods
    from softswitch.fleet.messages import Record, State

    tracemalloc.start()
    me = Record("n0", "10.0.0.1:7946", 1, State.JOINING, 1, "east", "0.1.0", "0123456789ab", "10.0.0.1:15000")
    member = Member("tana", me, (), Periods(), 1, 0.0)
    for k in range(1, n):
        at = f"10.{k >> 8}.{k & 255}.1"
        member.table.put(
            0.0,
            Record(
                f"softswitch-{k}",
                f"{at}:7946",
                1,
                State.ALIVE,
                k,
                "east",
                "0.1.0",
                "0123456789ab",
                f"{at}:15000",
            ),
        )
    print(f"a view of {n} members: {tracemalloc.get_traced_memory()[0] / 1024:.0f} KiB")


if __name__ == "__main__":
    if sys.argv[1:2] == ["day"]:
        run_day(sys.argv[2] == "1", float(sys.argv[3]), int(sys.argv[4]), int(sys.argv[5]), sys.argv[6])
    else:
        args = sys.argv[1:] + ["4", "12", "4", "view"][len(sys.argv) - 1 :]
        cost_ratios, setup_ratios = [], []
        for n in range(int(args[0])):
            # The order alternates, so that changes of the machine's speed affect both alike.
            order = (True, False) if n % 2 else (False, True)
            figures = {on: run_in_process(on, args[1], args[2], n, args[3]) for on in order}
            cost_ratios.append(figures[True][0] / figures[False][0])
            setup_ratios.append(figures[True][1] / figures[False][1])
            us = [1e6 * figures[on][0] for on in (False, True)]
            print(
                f"pair {n}: {us[0]:.0f} us per call without, {us[1]:.0f} with: "
                f"{cost_ratios[-1]:.3f}; mean setup {1e3 * figures[False][1]:.2f} ms without, "
                f"{1e3 * figures[True][1]:.2f} with: {setup_ratios[-1]:.3f}; "
                f"established {figures[False][2]:.3f}, {figures[True][2]:.3f}",
                flush=True,
            )
        print(
            f"median ratio: processor time {median(cost_ratios):.3f}, mean setup {median(setup_ratios):.3f}"
        )
        if args[3] == "view":
            measure_memory()
