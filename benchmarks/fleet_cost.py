"""What the fleet view costs: processor time a call and mean set-up time with it and without, paired in one
run; memory of a view of 1,000 members. `fleet_cost.py [PAIRS] [SECONDS] [SOFTSWITCHES] [WHAT]`;
WHAT is `view` (with it against without) or `budgets` (the view and budgets against the view alone).
"""

import subprocess
import sys
import tracemalloc
from dataclasses import replace
from pathlib import Path
from statistics import median

WARM = 10.0  # s that are not counted: starting, joining, and a first allocator


BUDGETS = (
    {"name": "quotes", "whole": 100_000, "floor": 10, "class": "price-check"},
    {"name": "again", "what": "repeats", "whole": 1_000, "over_s": 2},
    {"name": "cold", "what": "cold", "floor": 0.01},
)


def day(on, seconds, softswitches, seed, what="view"):
    from softswitch.standin.faults.drill import Drill

    class Measured(Drill):
        def spent(self):
            read = (Path(f"/proc/{p.pid}/schedstat").read_text().split()[0] for p in self.programs)
            return sum(map(int, read)) / 1e9

        def _start_counting(self):
            super()._start_counting()
            self.used = -self.spent()

        def _finish_when_idle(self):
            if len(self.marks) == 1:
                self.used += self.spent()
            super()._finish_when_idle()

    rate = 30.0 * softswitches
    view, budgets = (on, ()) if what == "view" else (True, BUDGETS if on else ())
    drill = Measured(
        softswitches, 2, WARM + seconds, seed, (), rate=rate, view=view, watched=False, budgets=budgets
    )
    drill.day = replace(drill.day, warm_up=WARM, seconds=seconds)
    total = drill.run().total()
    print(drill.used / total.tries, total.delay_s / max(1, total.carried), total.carried / total.tries)


def played(on, seconds, softswitches, seed, what):
    words = [sys.executable, __file__, "day", str(int(on)), seconds, softswitches, str(seed), what]
    ran = subprocess.run(words, capture_output=True, text=True, check=True)
    return [float(word) for word in ran.stdout.split()]


def memory(n=1_000):
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
        day(sys.argv[2] == "1", float(sys.argv[3]), int(sys.argv[4]), int(sys.argv[5]), sys.argv[6])
    else:
        given = sys.argv[1:] + ["4", "12", "4", "view"][len(sys.argv) - 1 :]
        costs, waits = [], []
        for n in range(int(given[0])):
            # the order alternates, so that drift of the machine falls on both alike
            order = (True, False) if n % 2 else (False, True)
            found = {on: played(on, given[1], given[2], n, given[3]) for on in order}
            costs.append(found[True][0] / found[False][0])
            waits.append(found[True][1] / found[False][1])
            us = [1e6 * found[on][0] for on in (False, True)]
            print(
                f"pair {n}: {us[0]:.0f} us a call without, {us[1]:.0f} with: "
                f"{costs[-1]:.3f}; mean set-up {1e3 * found[False][1]:.2f} ms without, "
                f"{1e3 * found[True][1]:.2f} with: {waits[-1]:.3f}; stood {found[False][2]:.3f}, "
                f"{found[True][2]:.3f}",
                flush=True,
            )
        print(f"median ratio: processor time {median(costs):.3f}, mean set-up {median(waits):.3f}")
        if given[3] == "view":
            memory()
