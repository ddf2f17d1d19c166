"""State of the decision module: the admission gate of each endpoint, and the unanswered calls.

All times are in ms. A *window* is the time constant `State.window`, by which answer delays are smoothed
and decay.
"""

from math import exp, floor
from random import Random

from softswitch import interface as i

LONG_AGO = -1e12  # ms
SMOOTHING = 1000.0  # ms; maximum window
MAX_MEMORY = 4.0  # windows; delays of an endpoint that answers rarely decay more slowly, up to this
OVERLOADED_FOR = 10.0  # windows for which calls to an overloaded endpoint are paced
MAX_DISTANCE_DELAY = 0.4  # windows; a shorter delay may be an endpoint's distance, a longer one is load
EJECTION_FAILURES = 1.5  # failures that eject an endpoint: about every other call setup fails


class DelayEstimate:
    """Answer delay of an endpoint: measured and smoothed, and as reported by the endpoint.

    The measured delay is that of this softswitch's call setups. Both values decay without new samples.
    """

    def __init__(self, window: float) -> None:
        self.window = window  # ms; time constant of the smoothing and the decay
        self.delay = self.reported_wait = 0.0  # ms
        # This softswitch's unanswered call setups at the time of an answer, smoothed.
        self.in_flight = 0.0
        self.observed_at = self.reported_at = LONG_AGO  # time of the last measured delay; of the last report

    def observe(self, now: float, delay: float, in_flight: int) -> None:
        """Records the delay of an answer."""
        weight = 1 - exp(-max(now - self.observed_at, self.window / 5) / self.window)
        self.delay += weight * (delay - self.delay)
        self.in_flight += weight * (in_flight - self.in_flight)
        self.observed_at, self.reported_wait = now, 0.0

    def expected(self, now: float, in_flight: int, memory: float) -> float:
        """Returns the expected delay of one more call setup; `memory` is the time constant of the decay.

        The delay grows with this softswitch's call setups in flight. Those of the other softswitches are
        assumed to grow likewise.
        """
        aged = self.delay * exp(-(now - self.observed_at) / memory) * ((in_flight + 1) / (self.in_flight + 1))
        return max(aged, self.reported_wait * exp(-(now - self.reported_at) / memory))


class Pacer:
    """Issues permits to send at a given rate. Unused permits expire, so that no burst can accumulate."""

    def __init__(self) -> None:
        self.active, self.used = False, 0  # used: permits that were used or have expired
        self.issued = self.updated_at = 0.0  # permits issued so far, and the time of that count

    def available(self, now: float, rate: float, lifetime: float, phase: float) -> int:
        """Returns the number of unused permits, issued at `rate` per ms and valid for `lifetime` ms.

        `phase`: initial fraction of a permit, random so that the softswitches do not send at the same time.
        """
        if not self.active:
            self.active, self.issued, self.updated_at, self.used = True, phase, now, 0
        self.issued, self.updated_at = self.issued + rate * (now - self.updated_at), now
        self.used = max(self.used, floor(self.issued - rate * lifetime))
        return floor(self.issued) - self.used


class Gate:
    """Admission gate of one endpoint: open while one more call setup would be answered in time."""

    def __init__(self, endpoint: i.Endpoint, window: float) -> None:
        self.server, self.cell = endpoint.server, endpoint.cell
        self.state, self.started_at = endpoint.state, endpoint.started_at
        self.estimate, self.pacer = DelayEstimate(window), Pacer()
        self.in_flight: dict[tuple[str, int], float] = {}  # unanswered (call, attempt): send time, in order
        self.newest_answered = LONG_AGO  # send time of the most recently sent call setup that was answered
        self.answered_at, self.answer_interval = LONG_AGO, 0.0  # last answer; ms between answers, smoothed
        # established: this softswitch's calls at the endpoint. failures: halved by each established call.
        self.established, self.failures = 0, 0.0
        self.connection_failed_at = self.probed_at = self.capacity_at = LONG_AGO
        # closed_until: set by the endpoint's retry_after. overloaded_until: set by a long delay or a report.
        self.closed_until = self.overloaded_until = LONG_AGO
        self.tolerated_wait = self.fastest_answer = 0.0  # ms; a few waiting call setups are no overload
        self.slow_start_at: float | None = None  # start of its warm-up; None: warmed up
        # Circuits of its cell, as last reported. Before the first report, all calls are assumed to find one.
        self.circuits, self.available_circuits = endpoint.weight, 1e12
        self.max_used_circuits, self.circuits_reported_at = 0.0, LONG_AGO  # the maximum decays slowly
        # capacity: call setups per ms once warmed up. max_rate: highest reported rate per s; it decays.
        self.capacity = self.max_rate = 0.0

    def observe(self, now: float, delay: float) -> None:
        """Records the delay of an answer; a long one marks the endpoint as overloaded."""
        self.estimate.observe(now, delay, len(self.queued()))
        if delay > self.tolerated_wait:
            self.overloaded_until = now + OVERLOADED_FOR * self.estimate.window

    def queued(self) -> list[float]:
        """Returns the send times of the call setups that may wait at the endpoint, oldest first.

        A setup that was sent before an answered one is assumed to be lost.
        """
        return [t for t in self.in_flight.values() if t >= self.newest_answered] if self.in_flight else []

    def expected_wait(self, now: float) -> float:
        """Returns the ms until one more call setup would be answered.

        This is at least the age of the oldest queued setup, which reveals a stall of the endpoint.
        """
        queued, window = self.queued(), self.estimate.window
        memory = min(max(window, self.answer_interval), MAX_MEMORY * window)
        expected = self.estimate.expected(now, len(queued), memory)
        return max(expected, now - queued[0] if queued else 0.0)

    def is_open(self, now: float, limit: float) -> bool:
        """Whether one more call setup would be answered within `limit` ms or twice the fastest answer."""
        closed = self.failures >= EJECTION_FAILURES or now < self.closed_until
        distance_limit = min(2 * self.fastest_answer, MAX_DISTANCE_DELAY * self.estimate.window)
        return not closed and self.expected_wait(now) < max(limit, self.tolerated_wait, distance_limit)


class Call:
    """A call without a final answer: its request and the state of its attempts."""

    def __init__(self, now: float, request: i.SetupRequested, call_class: i.CallClass, weight: float) -> None:
        self.id, self.request, self.call_class = request.call, request, call_class
        self.received_at, self.deadline = now, now + request.timeout
        self.weight = weight
        self.stack_key = (call_class.name, self.weight, request.destination_cell)
        self.attempts = self.max_attempts = 0
        self.gate: Gate | None = None  # of the attempt in flight
        # Answered with an error; counted as failures if another endpoint establishes the call.
        self.failed_gates: list[Gate] = []
        # may_have_run: an attempt may have run. unsafe: and the call is not idempotent.
        self.may_have_run = self.unsafe = self.cancelling = False
        self.ready_at, self.give_up_at = now, LONG_AGO  # earliest time of the next attempt; end of queueing


class State:
    """State shared by the modules of the policy: settings, values derived from them, gates and calls."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.gates: dict[str, Gate] = {}
        self.calls: dict[i.CallId, Call] = {}
        self.constraints: i.Constraints = i.UNLIMITED
        self.actions: list[i.Action] = []  # of the event being handled
        self.stalled_for = 0.0  # ms that this process was stalled just before the current time; 0: no stall
        self.call_fraction, self.call_fraction_at = (
            1 / settings.fleet_size,
            LONG_AGO,
        )  # see endpoints.call_fraction
        self.apply(settings)

    def apply(self, settings: i.Settings) -> None:
        """Applies new settings; the state of the gates is retained."""
        self.settings, self.classes = settings, {c.name: c for c in settings.classes}
        self.max_weight, self.min_weight = settings.max_weight, settings.min_weight
        self.max_objective, self.min_objective = settings.max_objective, settings.min_objective
        self.holding_time = settings.mean_holding_time
        self.window = min(SMOOTHING, self.max_objective / 2)  # shorter for short objectives
        for gate in self.gates.values():
            gate.estimate.window, gate.capacity_at = self.window, LONG_AGO
        for call in self.calls.values():  # a higher limit applies to new calls only
            call.max_attempts = min(call.max_attempts, settings.max_attempts)
