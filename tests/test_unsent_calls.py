"""A call that was never sent to any engine is rejected, whichever timer finds that its time is over.

A rejection (503) tells the caller that trying again is harmless; a failure (500) tells that an attempt may
have run, and a caller who must not place an order twice then has to ask by other means.

What happened: queued calls are looked at by a sweep every 50 ms, and given up in the last 50 ms before their
deadline. On a wheel of coarse ticks the sweeps are 51 ms apart and more, so now and then the deadline's own
timer came first, and that timer called every end a failure, whatever had run. Three trials told the causes
apart (12,000 calls each, six ticks): with a look at exactly the right instant no call failed, but over 1,100
did as soon as the timers ran up to 80 ms late; with the end named by what ran none of the module's ends was
wrong, late or not; 6 were left, at a tick of 20 ms, that the switch's own guard had ended (`guard: overdue`).
So the name of the end is the cause, in both places, and the late look only the occasion.
"""

from dataclasses import dataclass, field
from random import Random

from support.policy_driver import CLASSES
from support.switch_bench import A, Bench

from softswitch import interface as i
from softswitch.core.call import FailureReason
from softswitch.core.counters import Count

TICKS = (1.0, 2.0, 5.0, 7.0, 10.0, 20.0)  # ms
CALLS = 2_000  # drawn for each tick
WAKE_DELAY = 1.0  # ms by which a process runs its timers after their tick, at most
STANDSTILL = 80.0  # ms, the same of a process that gets a part of a core


@dataclass
class Ends:
    """How the calls of drawn plays ended that were never sent."""

    rejected: int = 0
    failed: int = 0
    unanswered: int = 0
    late: int = 0  # answered when their callers had given up
    by_guard: int = 0  # the switch gave the answer, not the decision module
    seeds: list[int] = field(default_factory=list)  # of plays with a call that did not end as rejected

    @property
    def calls(self):
        return self.rejected + self.failed + self.unanswered


class UnsentPlay(Bench):
    """One drawn play: calls that come while the only engine drains."""

    def __init__(self, tick, wake_delay, seed):
        self.wake_delay = wake_delay
        draw = self.draw = Random(f"{tick} {seed}")
        patience = draw.uniform(120.0, 3000.0)
        objective = patience * draw.uniform(0.7, 2.0)
        one = i.CallClass("plain", objective, idempotent=draw.random() < 0.5)
        super().__init__(
            servers=(A,), tick=tick, classes=(one, CLASSES[1]), fleet_size=draw.choice((1, 4, 40))
        )
        drains = i.Endpoint(A, 0, i.EndpointState.DRAINING)
        arrivals = sorted(draw.uniform(0.0, patience) for _ in range(draw.randint(1, 30)))
        self.events = [(self.now + at, self._call, n, patience) for n, at in enumerate(arrivals, 1)]
        self.list_changed(drains)
        self.answered_at = {}
        self.deadlines = {}

    def _call(self, n, patience):
        self.deadlines[f"{n:016x}"] = self.now + patience
        self.call(n, patience)

    def call_failed(self, call, reason, retry_after):
        self.answered_at[call] = self.now
        self.said.append(("call_failed", call, reason))

    def play(self, ends, seed):
        """Runs from event to timer, as the process that sleeps while nothing is due."""
        while self.events or self.switch.calls:
            due = self.wheel.next_due
            if self.events and (due is None or self.events[0][0] <= due):
                self.now, take, *words = self.events.pop(0)
                self.wheel.read_clock()
                take(*words)
            elif due is None:
                break
            else:
                self.now = max(self.now, due + self.draw.uniform(0.0, self.wake_delay))
                self.wheel.read_clock()
                self.wheel.run_due()
        self._judge(ends, seed)

    def _judge(self, ends, seed):
        assert not self.heard("send_setup")
        reasons = [reason for _, _, reason in self.heard("call_failed")]
        before = ends.failed + ends.unanswered + ends.late
        ends.rejected += reasons.count(FailureReason.REJECTED)
        ends.failed += reasons.count(FailureReason.FAILED)
        ends.unanswered += len(self.deadlines) - len(self.answered_at)
        ends.late += sum(at > self.deadlines[call] for call, at in self.answered_at.items())
        ends.by_guard += self.switch.counters[Count.GUARD_OVERDUE]
        if ends.failed + ends.unanswered + ends.late > before:
            ends.seeds.append(seed)


def drawn(tick, wake_delay):
    """CALLS calls of drawn plays."""
    ends, seed = Ends(), 0
    while ends.calls < CALLS:
        UnsentPlay(tick, wake_delay, seed).play(ends, seed)
        seed += 1
    return ends


def test_a_call_that_was_never_sent_is_rejected_in_time():
    for tick in TICKS:
        ends = drawn(tick, WAKE_DELAY)
        assert (ends.failed, ends.unanswered, ends.late) == (0, 0, 0), (tick, ends)


def test_a_call_that_was_never_sent_is_rejected_though_its_process_stood_still():
    """Its answer may be late by the standstill, as nobody was there to give it; it is a rejection even so."""
    for tick in TICKS:
        ends = drawn(tick, STANDSTILL)
        assert (ends.failed, ends.unanswered) == (0, 0), (tick, ends)
