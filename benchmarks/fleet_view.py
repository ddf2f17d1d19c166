"""The fleet view on virtual time: drawn schedules, planted faults, growth, and plainer ways beside it.

python benchmarks/fleet_view.py drawn 0 10000      # seeds; every schedule must settle, no rule may break
python benchmarks/fleet_view.py planted            # faults in the code, one at a time: each is found, or
told python benchmarks/fleet_view.py growth             # bytes and processor time a member, time to
settle python benchmarks/fleet_view.py plain              # false accusations beside two plainer ways
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


def one(seed, make=Member):
    """A fleet and a schedule of this seed; what it showed, as a short text where something is wrong."""
    rng = Random(seed)
    n, places = rng.randint(3, 14), rng.randint(1, 4)
    names = [f"n{k}" for k in range(n)]
    sites = {name: "abcd"[k % places] for k, name in enumerate(names)}
    faults = generate_schedule(seed, names, sites, 40.0)
    # One in four runs has lost datagrams all the while, one in four members short of processor.
    lose, starved = rng.choice((0.0, 0.0, 0.0, 0.1)), rng.choice((0.0, 0.0, 0.0, 0.2))
    o = run_simulation(n, places, 40.0, seed, faults, make=make, lose=lose, starved=starved)
    wrong = o.violation or ("" if o.settled else "not settled")
    wrong = wrong or (f"{o.false_gone} falsely gone" if o.false_gone else "")
    wrong = wrong or (f"{o.planned_gone} planned stops called gone" if o.planned_gone else "")
    lossy = lose or starved or any(f.what in ("lose", "spoil", "slow", "reorder") for f in faults)
    wrong = wrong or (f"{o.false_suspect} suspected falsely" if o.false_suspect > n and not lossy else "")
    return seed, wrong, o.events, o.false_suspect, max(o.settle_s, default=0.0)


def drawn_runs(first, last):
    began, events, suspects, bad, longest = time.monotonic(), 0, 0, [], 0.0
    with ProcessPoolExecutor(len(sched_getaffinity(0))) as pool:
        for seed, wrong, some, false, settle in pool.map(one, range(first, last), chunksize=20):
            events, suspects, longest = events + some, suspects + false, max(longest, settle)
            if wrong:
                bad.append((seed, wrong))
    took = time.monotonic() - began
    print(
        f"{last - first} schedules, seeds {first} to {last - 1}: {events} steps in {took:.0f} s; "
        f"{len(bad)} wrong, {suspects} suspected falsely and taken back, longest to settle {longest:.1f} s"
    )
    for seed, wrong in bad[:20]:
        print(f"  seed {seed}: {wrong}")
    return not bad


# Planted faults: each makes one line of the code do something else.


def planted():
    """Name, and what patches the code; given back is what undoes it."""

    def patch(owner, name, made):
        old = getattr(owner, name)

        def undo():
            setattr(owner, name, old)

        setattr(owner, name, made(old))
        return undo

    def merge_any(old):
        def put(self, now, record, age=0.0):
            key = record.key
            if key in self.records and record.incarnation < self.records[key].incarnation:
                self.drop(key)  # an older word of it holds
            return old(self, now, record, age)

        return put

    def ended_revives(old):
        def put(self, now, record, age=0.0):
            held = self.records.get(record.key)
            if held is not None and held.state in (State.GONE, State.LEFT) and record.state is State.ALIVE:
                self.drop(record.key)
            return old(self, now, record, age)

        return put

    def no_refute(old):
        return lambda self, now, record: None

    def refute_same(old):
        def of_me(self, now, record):
            if record.state is State.SUSPECT:
                self.table.put(now, self.me)
                return
            old(self, now, record)

        return of_me

    def never_confirm(old):
        return lambda self, now, key: self.suspicions.pop(key, None)

    def gone_at_once(old):
        def accuse(self, now, key):
            old(self, now, key)
            record = self.table.records.get(key)
            if record is not None and record.state is State.SUSPECT:
                self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))

        return accuse

    def no_standstill(old):
        return lambda self, gap: None

    def no_majority(old):
        return lambda self, now: None

    def no_retry(old):
        def retry(self, now):
            if self.me.state is State.JOINING:
                old(self, now)

        return retry

    def no_news(old):
        return lambda self, about="": ()

    def no_exchange(old):
        def exchange(self, address):
            if self.me.state is State.JOINING:
                old(self, address)

        return exchange

    def digest_blind(old):
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
        def acked(self, now, message):
            self.probe = None

        return acked

    def forget_ended(old):
        def put(self, now, record, age=0.0):
            found = old(self, now, record, age)
            if record.state in (State.GONE, State.LEFT) and record.key in self.records:
                self.drop(record.key)
            return found

        return put

    def incarnation_falls(old):
        def speak(self, now, **changes):
            if "incarnation" in changes:
                changes["incarnation"] = 1
            old(self, now, **changes)

        return speak

    def ping_wrong(old):
        def ping(self, key, seq):
            old(self, key, seq)
            said = self.actions[-1]
            self.actions[-1] = Send(said.to, msgspec.structs.replace(said.message, to=self.me.key))

        return ping

    return {
        "an older word overrides a newer one": lambda: patch(MemberTable, "put", merge_any),
        "an ended life comes back without a new incarnation": lambda: patch(
            MemberTable, "put", ended_revives
        ),
        "nobody takes back what is said of it": lambda: patch(Member, "_refute", no_refute),
        "taken back in the same incarnation": lambda: patch(Member, "_refute", refute_same),
        "suspicions are dropped, nobody is gone": lambda: patch(Member, "_suspicion_expired", never_confirm),
        "gone at the first missed probe": lambda: patch(Member, "_accuse", gone_at_once),
        "a standstill of one's own goes unseen": lambda: patch(
            Member, "_compensate_for_stall", no_standstill
        ),
        "a minority calls the others gone": lambda: patch(Member, "_check_majority", no_majority),
        "who is gone is never tried again": lambda: patch(Member, "_retry", no_retry),
        "no news on the back of probes": lambda: patch(Member, "_updates_for", no_news),
        "no exchanges after joining": lambda: patch(Member, "_exchange", no_exchange),
        "exchanges that find no difference": lambda: patch(MemberTable, "differing_buckets", digest_blind),
        "a planned stop says nothing": lambda: patch(Member, "leave", no_leave),
        "a planned stop says that it is gone, to nobody": lambda: patch(Member, "leave", leave_as_gone),
        "only the first member is probed": lambda: patch(Member, "_next_target", first_only),
        "any answer ends a probe": lambda: patch(Member, "_ack_received", ack_all),
        "ended members are forgotten at once": lambda: patch(MemberTable, "put", forget_ended),
        "a new own incarnation is 1": lambda: patch(Member, "_update_own_record", incarnation_falls),
        "probes name the wrong member": lambda: patch(Member, "_ping", ping_wrong),
        "no helpers are asked": lambda: patch(code, "HELPERS", lambda old: 0),
        "suspicion lasts no time": lambda: patch(code, "CONFIRMATIONS", lambda old: 0.0001),
    }


def find_planted(most=300):
    found = 0
    for name, plant in planted().items():
        undo = plant()
        hit = None
        try:
            for seed in range(most):
                try:
                    wrong = one(seed)[1]
                except Exception as e:
                    wrong = f"{type(e).__name__}: {e}"
                if wrong:
                    hit = (seed, wrong)
                    break
        finally:
            undo()
        found += hit is not None
        print(f"{name}: " + (f"found by seed {hit[0]}: {hit[1][:90]}" if hit else f"survives {most} seeds"))
    print(f"{found} of {len(planted())} found")


def growth(sizes):
    rows = []
    for n in sizes:
        seconds = 40.0
        faults = [Fault(at_s=20.0, what="kill", who=(f"n{n // 2}",))]
        began = time.process_time()
        o = run_simulation(n, 4, seconds, 1, faults)
        cpu = time.process_time() - began
        quiet = FleetSimulation(n, 4, 2)
        quiet.run(12_000)
        base = [(v.bytes_out, v.messages) for v in quiet.nodes.values()]
        quiet.run(32_000)
        sent = sum(v.bytes_out for v in quiet.nodes.values()) - sum(b for b, _ in base)
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


class Plain(Member):
    """Everyone pings everyone each period, and who misses three is gone: no helpers, no suspicion."""

    def tick(self, now):
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
        return min(getattr(self, "round_at", 0.0), self.next_retry)

    def datagram_received(self, now, message):
        if hasattr(message, "header") and hasattr(self, "missed"):
            self.missed[message.header.sender.key] = 0
        return super().datagram_received(now, message)


class Hasty(Member):
    """SWIM without suspicion: gone at the first probe that failed, directly and through helpers."""

    def _accuse(self, now, key):
        record = self.table.records.get(key)
        if record is not None and record.state not in (State.GONE, State.LEFT):
            self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))


def plain(members, seconds=60.0, seeds=(1, 2, 3)):
    print(
        f"{members} members, {seconds:g} s, 5% starved, {len(seeds)} seeds: lives called gone that never "
        "stopped; bytes a second and member"
    )
    for lose in (0.0, 0.05, 0.1, 0.2, 0.3):
        line = [f"loss {lose:.0%}"]
        ways = (("this", Member), ("without suspicion", Hasty), ("everyone pings everyone", Plain))
        for name, make in ways:
            false, sent = 0, 0.0
            for seed in seeds:
                o = run_simulation(members, 4, seconds, seed, (), make=make, starved=0.05, lose=lose)
                false, sent = false + o.false_gone, sent + o.bytes_s / len(seeds)
            line.append(f"{name}: {false} gone, {sent:.0f} B/s")
        print("; ".join(line), flush=True)


if __name__ == "__main__":
    asked = sys.argv[1:] or ["drawn", "0", "1000"]
    if asked[0] == "drawn":
        sys.exit(0 if drawn_runs(int(asked[1]), int(asked[2])) else 1)
    elif asked[0] == "planted":
        find_planted(int(asked[1]) if len(asked) > 1 else 300)
    elif asked[0] == "growth":
        growth([int(n) for n in asked[1:]] or [10, 100, 1000])
    elif asked[0] == "plain":
        plain(int(asked[1]) if len(asked) > 1 else 60)
    else:
        sys.exit(__doc__)
