"""What this softswitch believes of endpoints (their admission gates), and owes to calls."""

from math import exp, floor
from random import Random

from softswitch import interface as i

LONG_AGO = -1e12  # ms
SMOOTHING = 1000.0  # ms; answer delays are smoothed, and age, over about this long
MAX_MEMORY = 4.0  # windows; an endpoint that answers rarely is remembered longer, up to this
OVERLOADED_FOR = 10.0  # windows in which an endpoint that was found overloaded is paced
MAX_FAR = 0.4  # windows; a delay up to this may be an endpoint's distance, a longer one is its load
EJECTION_FAILURES = 1.5  # faults that eject an endpoint: about every other call setup failing


class DelayEstimate:
    """Smoothed answer delay of own call setups and the reported wait; both age while nothing is learned."""

    def __init__(self, window: float) -> None:
        self.window = window  # ms over which it is smoothed, and ages
        self.delay = self.reported_wait = 0.0  # ms
        self.in_flight = 0.0  # smoothed number of own unanswered call setups at those answers
        self.observed_at = self.reported_at = LONG_AGO

    def observe(self, now: float, delay: float, in_flight: int) -> None:
        """Takes in an answer's delay."""
        weight = 1 - exp(-max(now - self.observed_at, self.window / 5) / self.window)
        self.delay += weight * (delay - self.delay)
        self.in_flight += weight * (in_flight - self.in_flight)
        self.observed_at, self.reported_wait = now, 0.0

    def expected(self, now: float, in_flight: int, memory: float) -> float:
        """The delay of one more call setup; all softswitches are taken to have as many more in flight."""
        aged = self.delay * exp(-(now - self.observed_at) / memory) * ((in_flight + 1) / (self.in_flight + 1))
        return max(aged, self.reported_wait * exp(-(now - self.reported_at) / memory))


class Pacer:
    """Turns that come due at a rate. Unused ones lapse, so that softswitches cannot save them up."""

    def __init__(self) -> None:
        self.active, self.used = False, 0
        self.due = self.updated_at = 0.0  # turns due so far, and when they were counted

    def available(self, now: float, rate: float, lapse: float, draw: float) -> int:
        """Turns now, at `rate` per ms. Starts at a drawn phase, or all softswitches' would come together."""
        if not self.active:
            self.active, self.due, self.updated_at, self.used = True, draw, now, 0
        self.due, self.updated_at = self.due + rate * (now - self.updated_at), now
        self.used = max(self.used, floor(self.due - rate * lapse))
        return floor(self.due) - self.used


class Gate:
    """The admission gate of one endpoint: open while one more call setup would be answered in time."""

    def __init__(self, endpoint: i.Endpoint, window: float) -> None:
        self.server, self.cell = endpoint.server, endpoint.cell
        self.state, self.started_at = endpoint.state, endpoint.started_at
        self.estimate, self.pacer = DelayEstimate(window), Pacer()
        self.in_flight: dict[tuple[str, int], float] = {}  # (call, attempt) not answered: sent at, in order
        self.newest_answered = LONG_AGO  # when the newest call setup that was answered had been sent
        self.answered_at, self.answer_interval = LONG_AGO, 0.0  # its last sign; ms between them, smoothed
        self.established, self.failures = 0, 0.0  # own calls; faults, halved by each call established
        self.connection_failed_at = self.probed_at = self.capacity_at = LONG_AGO
        self.closed_until = self.overloaded_until = LONG_AGO  # by its retry_after; by its delay or report
        self.tolerated_wait = self.fastest_answer = 0.0  # ms; a few call setups that wait are no overload
        self.slow_start_at: float | None = None  # since when it warms up
        self.circuits, self.free_circuits = endpoint.weight, 1e12  # of its cell
        self.max_used_circuits, self.circuits_reported_at = 0.0, LONG_AGO  # the maximum slowly fades
        self.capacity = self.max_rate = 0.0  # call setups: per ms when warm; most a second reported, fading

    def observe(self, now: float, delay: float) -> None:
        """Takes in an answer's delay, which may show an overload."""
        self.estimate.observe(now, delay, len(self.queued()))
        if delay > self.tolerated_wait:
            self.overloaded_until = now + OVERLOADED_FOR * self.estimate.window

    def queued(self) -> list[float]:
        """Send times of call setups that may wait there, oldest first; one that was overtaken is lost."""
        return [t for t in self.in_flight.values() if t >= self.newest_answered] if self.in_flight else []

    def expected_wait(self, now: float) -> float:
        """Ms until one more call setup is answered; the oldest one unanswered shows a stall first."""
        queued, window = self.queued(), self.estimate.window
        memory = min(max(window, self.answer_interval), MAX_MEMORY * window)
        expected = self.estimate.expected(now, len(queued), memory)
        return max(expected, now - queued[0] if queued else 0.0)

    def is_open(self, now: float, limit: float) -> bool:
        """Whether one more call setup would be answered within `limit` ms, or nearly as fast as any was."""
        closed = self.failures >= EJECTION_FAILURES or now < self.closed_until
        far = min(2 * self.fastest_answer, MAX_FAR * self.estimate.window)
        return not closed and self.expected_wait(now) < max(limit, self.tolerated_wait, far)


class Call:
    """A call that this softswitch still owes an answer: its request, and what became of its attempts."""

    def __init__(self, now: float, request: i.SetupRequested, call_class: i.CallClass, weight: float) -> None:
        self.id, self.request, self.call_class = request.call, request, call_class
        self.received_at, self.deadline = now, now + request.timeout
        self.weight = weight
        self.kind = (call_class.name, self.weight, request.destination_cell)
        self.attempts = self.max_attempts = 0
        self.gate: Gate | None = None  # where an attempt is in flight
        self.failed_gates: list[Gate] = []  # answered with an error; at fault if another one answers well
        self.may_have_run = self.unsafe = self.cancelling = False  # unsafe: and one more could do harm
        self.ready_at, self.give_up_at = now, LONG_AGO  # no attempt before the one, or queued after the other


class State:
    """What the parts of the policy share: the settings and what follows from them, gates and calls."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.gates: dict[str, Gate] = {}
        self.calls: dict[str, Call] = {}
        self.constraints: i.Constraints = i.UNLIMITED
        self.actions: list[i.Action] = []  # of the event in hand
        self.stalled_for = 0.0  # ms; of this process, until just now
        self.call_share, self.call_share_at = 1 / settings.fleet_size, LONG_AGO  # see `call_share`
        self.apply(settings)

    def apply(self, settings: i.Settings) -> None:
        """These settings hold from now on; what was learned of the endpoints stays."""
        self.settings, self.classes = settings, {c.name: c for c in settings.classes}
        self.max_weight, self.min_weight = settings.max_weight, settings.min_weight
        self.max_objective, self.holding_time = settings.max_objective, settings.mean_holding_time
        self.window = min(SMOOTHING, self.max_objective / 2)  # shorter where the objectives are short
        for gate in self.gates.values():
            gate.estimate.window, gate.capacity_at = self.window, LONG_AGO
        for call in self.calls.values():  # fewer attempts bind at once, more only those who come
            call.max_attempts = min(call.max_attempts, settings.max_attempts)
