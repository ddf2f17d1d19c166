"""Benchmarks of the fleet view, in simulation on virtual time.

python benchmarks/fleet_view.py drawn 0 10000      # generated schedules, by seed: all converge, no violation
python benchmarks/fleet_view.py planted            # faults injected into the code one by one: which are found
python benchmarks/fleet_view.py growth             # bytes and processor time per member, time to converge
python benchmarks/fleet_view.py plain              # false accusations, compared with two simpler protocols
"""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from os import sched_getaffinity
from random import Random

import msgspec

from softswitch.fleet import member as code
from softswitch.fleet.member import Member, Send
from softswitch.fleet.member_table import MemberTable
from softswitch.fleet.messages import Ping, State
from softswitch.standin.faults.fleet_simulation import FleetSimulation, run_simulation
from softswitch.standin.faults.schedule import Fault, generate_schedule


def run_schedule(seed, make=Member):
    """Simulates a fleet and a schedule, both generated from the seed.

    Returns (seed, failure or "", events, false suspicions, longest time to converge in s).
    """
    rng = Random(seed)
    n, site_count = rng.randint(3, 14), rng.randint(1, 4)
    names = [f"n{k}" for k in range(n)]
    sites = {name: "abcd"[k % site_count] for k, name in enumerate(names)}
    faults = generate_schedule(seed, names, sites, 40.0)
    # One run in four loses datagrams throughout, and one in four has members that lack processor time.
    lose, starved = rng.choice((0.0, 0.0, 0.0, 0.1)), rng.choice((0.0, 0.0, 0.0, 0.2))
    o = run_simulation(n, site_count, 40.0, seed, faults, make=make, lose=lose, starved=starved)
    failure = o.violation or ("" if o.settled else "not converged")
    failure = failure or (f"{o.false_gone} falsely declared gone" if o.false_gone else "")
    failure = failure or (f"{o.planned_gone} planned stops declared gone" if o.planned_gone else "")
    lossy = lose or starved or any(f.what in ("lose", "spoil", "slow", "reorder") for f in faults)
    failure = failure or (f"{o.false_suspect} falsely suspected" if o.false_suspect > n and not lossy else "")
    return seed, failure, o.events, o.false_suspect, max(o.settle_s, default=0.0)


def run_schedules(first, last):
    """Runs the schedules of a range of seeds and prints a summary; returns whether all passed."""
    started_at, events, suspicions, failures, max_settle = time.monotonic(), 0, 0, [], 0.0
    with ProcessPoolExecutor(len(sched_getaffinity(0))) as pool:
        for seed, failure, count, false, settle in pool.map(run_schedule, range(first, last), chunksize=20):
            events, suspicions, max_settle = events + count, suspicions + false, max(max_settle, settle)
            if failure:
                failures.append((seed, failure))
    duration = time.monotonic() - started_at
    print(
        f"{last - first} schedules, seeds {first} to {last - 1}: {events} steps in {duration:.0f} s; "
        f"{len(failures)} failed, {suspicions} false suspicions that were refuted, "
        f"longest time to converge {max_settle:.1f} s"
    )
    for seed, failure in failures[:20]:
        print(f"  seed {seed}: {failure}")
    return not failures


# Injected faults: each changes the effect of one line of the code.


def injected_faults():
    """Returns by name a function that injects a fault into the code; it returns a function to remove it."""

    def patch(owner, name, make_replacement):
        old = getattr(owner, name)

        def undo():
            setattr(owner, name, old)

        setattr(owner, name, make_replacement(old))
        return undo

    def merge_any(old):
        def put(self, now, record, age=0.0):
            key = record.key
            if key in self.records and record.incarnation < self.records[key].incarnation:
                self.drop(key)  # the older record replaces the newer one
            return old(self, now, record, age)

        return put

    def ended_revives(old):
        def put(self, now, record, age=0.0):
            known = self.records.get(record.key)
            if known is not None and known.state in (State.GONE, State.LEFT) and record.state is State.ALIVE:
                self.drop(record.key)
            return old(self, now, record, age)

        return put

    def no_refute(old):
        return lambda self, now, record: None

    def refute_same(old):
        def refute(self, now, record):
            if record.state is State.SUSPECT:
                self.table.put(now, self.me)
                return
            old(self, now, record)

        return refute

    def never_confirm(old):
        return lambda self, now, key: self.suspicions.pop(key, None)

    def gone_at_once(old):
        def accuse(self, now, key):
            old(self, now, key)
            record = self.table.records.get(key)
            if record is not None and record.state is State.SUSPECT:
                self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))

        return accuse

    def no_stall(old):
        return lambda self, gap: None

    def no_majority(old):
        return lambda self, now: None

    def no_retry(old):
        def retry(self, now):
            if self.me.state is State.JOINING:
                old(self, now)

        return retry

    def no_updates(old):
        return lambda self, recipient="": ()

    def no_exchange(old):
        def exchange(self, address):
            if self.me.state is State.JOINING:
                old(self, address)

        return exchange

    def no_differences(old):
        return lambda self, buckets: ()

    def no_leave(old):
        return lambda self, now: []

    def leave_as_gone(old):
        def leave(self, now):
            self.leaving = True
            self._update_own_record(now, state=State.GONE)
            return []

        return leave

    def first_only(old):
        def target(self):
            others = self._others((State.ALIVE, State.SUSPECT, State.JOINING))
            return others[0] if others else None

        return target

    def ack_all(old):
        def ack_received(self, now, message):
            self.probe = None

        return ack_received

    def remove_ended(old):
        def put(self, now, record, age=0.0):
            previous = old(self, now, record, age)
            if record.state in (State.GONE, State.LEFT) and record.key in self.records:
                self.drop(record.key)
            return previous

        return put

    def incarnation_one(old):
        def update_own_record(self, now, **changes):
            if "incarnation" in changes:
                changes["incarnation"] = 1
            old(self, now, **changes)

        return update_own_record

    def ping_wrong(old):
        def ping(self, key, seq):
            old(self, key, seq)
            action = self.actions[-1]
            self.actions[-1] = Send(action.to, msgspec.structs.replace(action.message, to=self.me.key))

        return ping

    return {
        "an older record replaces a newer one": lambda: patch(MemberTable, "put", merge_any),
        "an ended member revives without a new incarnation": lambda: patch(MemberTable, "put", ended_revives),
        "no member refutes its suspicion": lambda: patch(Member, "_refute", no_refute),
        "refuted in the same incarnation": lambda: patch(Member, "_refute", refute_same),
        "suspicions are dropped, no member is gone": lambda: patch(
            Member, "_suspicion_expired", never_confirm
        ),
        "gone at the first missed probe": lambda: patch(Member, "_accuse", gone_at_once),
        "an own stall is not detected": lambda: patch(Member, "_compensate_for_stall", no_stall),
        "a minority declares the others gone": lambda: patch(Member, "_check_majority", no_majority),
        "members that are gone are never retried": lambda: patch(Member, "_retry", no_retry),
        "no updates piggybacked on probes": lambda: patch(Member, "_updates_for", no_updates),
        "no exchanges after joining": lambda: patch(Member, "_exchange", no_exchange),
        "exchanges find no difference": lambda: patch(MemberTable, "differing_buckets", no_differences),
        "a planned stop is not announced": lambda: patch(Member, "leave", no_leave),
        "a planned stop is recorded as gone and not announced": lambda: patch(Member, "leave", leave_as_gone),
        "only the first member is probed": lambda: patch(Member, "_next_target", first_only),
        "any ack ends a probe": lambda: patch(Member, "_ack_received", ack_all),
        "ended members are removed at once": lambda: patch(MemberTable, "put", remove_ended),
        "a new own incarnation is 1": lambda: patch(Member, "_update_own_record", incarnation_one),
        "probes name the wrong member": lambda: patch(Member, "_ping", ping_wrong),
        "no indirect probes": lambda: patch(code, "HELPERS", lambda old: 0),
        "suspicions expire at once": lambda: patch(code, "CONFIRMATIONS", lambda old: 0.0001),
    }


def find_faults(max_seeds=300):
    """Injects each fault alone, runs schedules until one fails, and prints which faults are detected."""
    detected = 0
    for name, inject in injected_faults().items():
        undo = inject()
        detection = None
        try:
            for seed in range(max_seeds):
                try:
                    failure = run_schedule(seed)[1]
                except Exception as e:
                    failure = f"{type(e).__name__}: {e}"
                if failure:
                    detection = (seed, failure)
                    break
        finally:
            undo()
        detected += detection is not None
        print(
            f"{name}: "
            + (
                f"detected by seed {detection[0]}: {detection[1][:90]}"
                if detection
                else f"undetected by {max_seeds} seeds"
            )
        )
    print(f"{detected} of {len(injected_faults())} detected")


def measure_growth(sizes):
    """Prints one JSON object per number of members: time to converge, bytes and processor time."""
    rows = []
    for n in sizes:
        seconds = 40.0
        faults = [Fault(at_s=20.0, what="kill", who=(f"n{n // 2}",))]
        started_at = time.process_time()
        o = run_simulation(n, 4, seconds, 1, faults)
        cpu = time.process_time() - started_at
        idle = FleetSimulation(n, 4, 2)
        idle.run(12_000)
        base = [(v.bytes_out, v.messages) for v in idle.nodes.values()]
        idle.run(32_000)
        sent = sum(v.bytes_out for v in idle.nodes.values()) - sum(b for b, _ in base)
        rows.append(
            {
                "members": n,
                "start_s": o.settle_s[0] if o.settle_s else None,
                "crash_known_s": o.detect_s,
                "bytes_s": round(sent / 20 / n, 1),
                "cpu_ms_s": round(1000 * cpu / seconds / n, 3),
                "false_gone": o.false_gone,
                "settled": o.settled,
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    return rows


class AllToAllMember(Member):
    """Pings all members in each period; one that misses three is gone: no indirect probes, no suspicion."""

    def tick(self, now):
        """Handles due timers; returns the actions."""
        if not hasattr(self, "missed"):
            self.missed, self.round_at = {}, now
        if now >= self.round_at and not self.leaving:
            self.round_at = now + self.periods.period
            for key in self._others((State.JOINING, State.ALIVE, State.SUSPECT)):
                self.missed[key] = self.missed.get(key, 0) + 1
                if self.missed[key] > 3:
                    record = self.table.records[key]
                    self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))
                else:
                    self.actions.append(
                        Send(self.table.records[key].address, Ping(self._header(), self._next_seq(), key))
                    )
        if now >= self.next_retry:
            self.next_retry = now + self.periods.retry
            self._retry(now)
        self.next_tick_due = now
        return self._take_actions()

    def next_at(self):
        """Returns the time of the next call of `tick`."""
        return min(getattr(self, "round_at", 0.0), self.next_retry)

    def datagram_received(self, now, message):
        """Resets the sender's count of missed pings."""
        if hasattr(message, "header") and hasattr(self, "missed"):
            self.missed[message.header.sender.key] = 0
        return super().datagram_received(now, message)


class NoSuspicionMember(Member):
    """SWIM without suspicion: a member is gone when the direct and the indirect probes fail once."""

    def _accuse(self, now, key):
        record = self.table.records.get(key)
        if record is not None and record.state not in (State.GONE, State.LEFT):
            self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))


def compare_protocols(members, seconds=60.0, seeds=(1, 2, 3)):
    """Prints members falsely declared gone, and bytes sent, for this protocol and two simpler ones."""
    print(
        f"{members} members, {seconds:g} s, 5% starved, {len(seeds)} seeds: members falsely declared gone; "
        "bytes per second and member"
    )
    for lose in (0.0, 0.05, 0.1, 0.2, 0.3):
        line = [f"loss {lose:.0%}"]
        variants = (
            ("this", Member),
            ("without suspicion", NoSuspicionMember),
            ("all-to-all pings", AllToAllMember),
        )
        for name, make in variants:
            false, sent = 0, 0.0
            for seed in seeds:
                o = run_simulation(members, 4, seconds, seed, (), make=make, starved=0.05, lose=lose)
                false, sent = false + o.false_gone, sent + o.bytes_s / len(seeds)
            line.append(f"{name}: {false} gone, {sent:.0f} B/s")
        print("; ".join(line), flush=True)


if __name__ == "__main__":
    args = sys.argv[1:] or ["drawn", "0", "1000"]
    if args[0] == "drawn":
        sys.exit(0 if run_schedules(int(args[1]), int(args[2])) else 1)
    elif args[0] == "planted":
        find_faults(int(args[1]) if len(args) > 1 else 300)
    elif args[0] == "growth":
        measure_growth([int(n) for n in args[1:]] or [10, 100, 1000])
    elif args[0] == "plain":
        compare_protocols(int(args[1]) if len(args) > 1 else 60)
    else:
        sys.exit(__doc__)
