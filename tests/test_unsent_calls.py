"""A call that was never sent to any engine is rejected, whichever timer detects that its deadline has passed.

A rejection (503) tells the caller that a retry is safe. After a failure (500) an attempt may have run, so a
caller that must not place an order twice has to find out by other means.

The failure: a sweep every 50 ms gives up queued calls in the last 50 ms before their deadline. With coarse
ticks the sweeps are 51 ms or more apart, so sometimes the timer of the deadline ran first. It reported a
failure for every call, whatever had run.

The cause is that the timer did not check whether an attempt had run; the late sweep only exposed it. Three
trials of 12,000 calls each, at six ticks, showed this. With sweeps at exactly the right time no call failed,
but over 1,100 did with timers up to 80 ms late. With a result that depends on what had run, the decision
module gave no wrong result, late or not. 6 wrong results remained at a tick of 20 ms: the switch's own guard,
which gave them (`guard: overdue`), had the same fault.
"""

from dataclasses import dataclass, field
from random import Random

from support.policy_driver import CLASSES
from support.switch_bench import A, Bench

from softswitch import interface as i
from softswitch.core.call import FailureReason
from softswitch.core.counters import Count

TICKS = (1.0, 2.0, 5.0, 7.0, 10.0, 20.0)  # ms
CALLS = 2_000  # generated for each tick
WAKE_DELAY = 1.0  # ms, maximum delay after the tick with which a process runs its timers
STALL = 80.0  # ms, maximum delay of a process that gets only a fraction of a core


@dataclass
class Results:
    """Results of the generated calls, none of which is ever sent."""

    rejected: int = 0
    failed: int = 0
    unanswered: int = 0
    late: int = 0  # answered after the deadline of the caller
    by_guard: int = 0  # answered by the guard of the switch, not by the decision module
    seeds: list[int] = field(
        default_factory=list
    )  # of the scenarios with a call that was not rejected in time

    @property
    def calls(self):
        return self.rejected + self.failed + self.unanswered


class UnsentCallsScenario(Bench):
    """A generated scenario: calls that arrive while the only engine is draining."""

    def __init__(self, tick, wake_delay, seed):
        self.wake_delay = wake_delay
        rng = self.rng = Random(f"{tick} {seed}")
        timeout = rng.uniform(120.0, 3000.0)
        objective = timeout * rng.uniform(0.7, 2.0)
        plain = i.CallClass("plain", objective, idempotent=rng.random() < 0.5)
        super().__init__(
            servers=(A,), tick=tick, classes=(plain, CLASSES[1]), fleet_size=rng.choice((1, 4, 40))
        )
        draining = i.Endpoint(A, 0, i.EndpointState.DRAINING)
        arrivals = sorted(rng.uniform(0.0, timeout) for _ in range(rng.randint(1, 30)))
        self.events = [(self.now + at, self._call, n, timeout) for n, at in enumerate(arrivals, 1)]
        self.list_changed(draining)
        self.answered_at = {}
        self.deadlines = {}

    def _call(self, n, timeout):
        self.deadlines[f"{n:016x}"] = self.now + timeout
        self.call(n, timeout)

    def call_failed(self, call, reason, retry_after):
        self.answered_at[call] = self.now
        self.records.append(("call_failed", call, reason))

    def run_to_end(self, results, seed):
        """Advances from event to timer, like a process that sleeps while no timer is due."""
        while self.events or self.switch.calls:
            due = self.wheel.next_due
            if self.events and (due is None or self.events[0][0] <= due):
                self.now, action, *args = self.events.pop(0)
                self.wheel.read_clock()
                action(*args)
            elif due is None:
                break
            else:
                self.now = max(self.now, due + self.rng.uniform(0.0, self.wake_delay))
                self.wheel.read_clock()
                self.wheel.run_due()
        self._count_results(results, seed)

    def _count_results(self, results, seed):
        assert not self.records_of("send_setup")
        reasons = [reason for _, _, reason in self.records_of("call_failed")]
        before = results.failed + results.unanswered + results.late
        results.rejected += reasons.count(FailureReason.REJECTED)
        results.failed += reasons.count(FailureReason.FAILED)
        results.unanswered += len(self.deadlines) - len(self.answered_at)
        results.late += sum(at > self.deadlines[call] for call, at in self.answered_at.items())
        results.by_guard += self.switch.counters[Count.GUARD_OVERDUE]
        if results.failed + results.unanswered + results.late > before:
            results.seeds.append(seed)


def run_generated_calls(tick, wake_delay):
    """Runs generated scenarios until CALLS calls have ended."""
    results, seed = Results(), 0
    while results.calls < CALLS:
        UnsentCallsScenario(tick, wake_delay, seed).run_to_end(results, seed)
        seed += 1
    return results


def test_a_call_that_was_never_sent_is_rejected_in_time():
    for tick in TICKS:
        results = run_generated_calls(tick, WAKE_DELAY)
        assert (results.failed, results.unanswered, results.late) == (0, 0, 0), (tick, results)


def test_a_call_that_was_never_sent_is_rejected_after_a_stall_of_the_process():
    """The answer may be late by the stall, during which the process cannot send it, but it is a rejection."""
    for tick in TICKS:
        results = run_generated_calls(tick, STALL)
        assert (results.failed, results.unanswered) == (0, 0), (tick, results)
