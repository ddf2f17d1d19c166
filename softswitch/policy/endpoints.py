"""Tracks the endpoints and this softswitch's fraction of their capacity; selects an endpoint for a call.

An endpoint that fails repeatedly is *ejected*: its admission gate stays closed. A *probe* is a single call
sent through a closed gate; its answer shows whether the endpoint works again. An endpoint that was started
recently is in *slow start*: it gets few calls, and more as it warms up. A *window* is the time constant
`State.window`, in ms. Times are in ms, and rates in call setups per ms, if not noted otherwise.
"""

from math import exp, sqrt

from softswitch import interface as i
from softswitch.policy.state import EJECTION_FAILURES, LONG_AGO, OVERLOADED_FOR, Call, Gate, State

# Fractions of the latency objective that calls may wait at an endpoint: MAX_WAIT for the highest weight.
MIN_WAIT, MAX_WAIT = 0.08, 0.15
PROBE_INTERVAL = 1000.0  # ms between probes of a closed gate
PROBE_FRACTION = 0.2  # the probes of all softswitches, as a fraction of the endpoint's capacity
TOLERATED_QUEUE = 3.0  # call setups that may wait at an endpoint without counting as overload
HEADROOM = 1.25  # rate of call setups to an overloaded endpoint, as a multiple of its known capacity
SLOW_START_SAFETY = 0.85  # fraction of the slow start budget that is used: the estimates are rough
# Fraction of overload_window after which an unused permit of the pacer expires during slow start.
SLOW_START_LIFETIME = 0.25
MIN_USED = 0.1  # minimum fraction of its circuits that an endpoint is assumed to fill, without observations
MIN_SILENCE = 0.5  # fraction of the shortest objective that an endpoint may leave an attempt unanswered
MAX_REMOVED_GATES = 8  # retained: the circuits used in their cells indicate the capacity of replacements


def count_failure(state: State, gate: Gate) -> None:
    """Counts a failure. EJECTION_FAILURES of them eject the endpoint, which is logged once."""
    gate.failures += 1
    if EJECTION_FAILURES <= gate.failures < EJECTION_FAILURES + 1:
        state.actions.append(i.WriteLog(f"endpoint {gate.server} ejected: fails or is silent, probes only"))


def record_attempt_event(state: State, now: float, event: i.AttemptEvent) -> None:
    """Updates the gate after an attempt was answered, or an attempt or established call ended."""
    gate, outcome = state.gates.get(event.server), event.outcome
    if gate is None:
        return
    load_reported(state, now, event)
    sent_at = gate.in_flight.pop((event.call, event.attempt), None)  # None: the call was established before
    gate.established = max(0, gate.established + (outcome is None) - (sent_at is None))
    if outcome in (i.Outcome.RESET, i.Outcome.CONNECT_FAILED):
        if gate.state is i.EndpointState.READY and gate.connection_failed_at < now:
            gate.failures += 1  # once: a lost connection ends all its attempts at the same time
        gate.connection_failed_at = now
        if gate.failures >= EJECTION_FAILURES and outcome is i.Outcome.CONNECT_FAILED:
            enter_slow_start(state, gate, now)  # the process died: it may restart before the list shows it
            gate.failures = 0.0  # slow start sends few calls, which serve as probes
    elif outcome in (i.Outcome.TIMEOUT, i.Outcome.CANCELLED):
        if sent_at is not None and gate.answered_at < sent_at and _was_silent(state, now - sent_at, event):
            gate.observe(now, max(gate.estimate.delay, now - sent_at))
            count_failure(state, gate)
    elif outcome is not i.Outcome.NOT_SENT:
        _answered(state, now, gate, sent_at, event)


def _was_silent(state: State, elapsed: float, event: i.AttemptEvent) -> bool:
    """Whether an attempt that ended unanswered shows that its endpoint is silent.

    A caller that leaves early, or whose timeout is short, shows nothing about the endpoint. The attempts that
    this module cancels were unanswered for as long as it tolerates.
    """
    call = state.calls.get(event.call)
    cancelled_here = call is not None and call.cancelling
    return cancelled_here or elapsed >= MIN_SILENCE * state.min_objective


def _answered(state: State, now: float, gate: Gate, sent_at: float | None, event: i.AttemptEvent) -> None:
    """Updates the gate after a message of its endpoint: an answer, rejection, error or end of a call."""
    if gate.answered_at > LONG_AGO:
        gate.answer_interval += (now - gate.answered_at - gate.answer_interval) / 5
    gate.answered_at = now
    if gate.circuits_reported_at == LONG_AGO:  # assumed: all softswitches have equally many calls
        used = gate.established * state.settings.fleet_size
        gate.max_used_circuits = max(0.98 * gate.max_used_circuits, used)
    if sent_at is None:
        return
    delay, outcome = now - sent_at, event.outcome
    gate.fastest_answer = min(gate.fastest_answer or delay, delay)
    gate.newest_answered = max(gate.newest_answered, sent_at)
    if outcome is i.Outcome.REJECTED and event.processor_full:
        gate.observe(now, max(delay, state.max_objective))  # counts as a wait longer than any objective
        gate.estimate.delay, gate.estimate.in_flight = max(gate.estimate.delay, state.max_objective), 0.0
        gate.closed_until = now + event.retry_after
    elif outcome is i.Outcome.REJECTED:
        gate.available_circuits = 0.0
    elif outcome is not i.Outcome.ERROR:
        gate.failures /= 2
        # After a stall, the answer may have waited unread in this process.
        if not state.stalled_for or delay > gate.expected_wait(now):
            gate.observe(now, delay)


def endpoints_changed(state: State, now: float, event: i.EndpointsChanged) -> None:
    """Applies an update of the endpoint list."""
    if event.kind is i.UpdateKind.FAILED:
        state.actions.append(i.SubscribeEndpoints())
        return
    for server in event.unlisted(state.gates):
        state.gates[server].state = i.EndpointState.REMOVED
    for e in event.endpoints:
        known = gate = state.gates.get(e.server)
        restarted = known is None or known.started_at != e.started_at
        if gate is None or (restarted and e.started_at):
            gate = state.gates[e.server] = Gate(e, state.window)
            if known is not None:
                gate.in_flight, gate.max_used_circuits = known.in_flight, known.max_used_circuits
                gate.circuits, gate.available_circuits = known.circuits, known.available_circuits
        gate.state, gate.cell, gate.started_at = e.state, e.cell, e.started_at
        if restarted and e.started_at and now - e.started_at < state.settings.warm_up:
            enter_slow_start(state, gate, e.started_at)
    removed = [s for s, g in state.gates.items() if g.state is i.EndpointState.REMOVED and not g.in_flight]
    for server in removed[:-MAX_REMOVED_GATES]:
        del state.gates[server]


def load_reported(state: State, now: float, event: i.LoadReported | i.AttemptEvent) -> None:
    """Records a load report, unsolicited or received with the end of an attempt."""
    gate, report = (
        state.gates.get(event.server),
        i.LoadReport.from_values(state.settings.report_fields, event.report),
    )
    if gate is None:
        return
    if report.circuits >= 0 and report.available_circuits >= 0:
        used = gate.circuits - gate.available_circuits
        age = min(now - gate.circuits_reported_at, state.holding_time)
        freed, expected = report.available_circuits - gate.available_circuits, used * age / state.holding_time
        unsolicited = isinstance(event, i.LoadReported) and gate.state is i.EndpointState.READY
        if (
            unsolicited
            and used > 0
            and freed > 3 * (expected + sqrt(used))
            and len(gates_of_cell(state, gate)) == 1
        ):
            enter_slow_start(state, gate, now)  # far more calls ended than expected: the endpoint was down
        gate.circuits, gate.available_circuits = report.circuits, report.available_circuits
        gate.circuits_reported_at = now
        decayed = gate.max_used_circuits * exp(-age / (2 * state.holding_time))
        gate.max_used_circuits = max(gate.circuits - gate.available_circuits, decayed)
    wait = report.wait
    if report.rate >= 0:
        decays_from = max(gate.estimate.reported_at, now - state.window)
        gate.max_rate = max(report.rate, gate.max_rate * exp((decays_from - now) / 15 / state.window))
        if wait < 0 and gate.max_rate > 0:
            wait = state.max_objective * max(0.0, 1 - 2 * report.rate / gate.max_rate)
            wait = 1000.0 * report.queue / gate.max_rate if report.queue >= 0 else wait
    if wait >= 0:
        gate.estimate.reported_wait, gate.estimate.reported_at = wait, now
        if wait > gate.tolerated_wait:
            gate.overloaded_until = now + OVERLOADED_FOR * state.window


def gates_of_cell(state: State, gate: Gate) -> list[Gate]:
    """The gates of the endpoint, its predecessor and its successor, which share the circuits of the cell."""
    return [g for g in state.gates.values() if g.cell == gate.cell]


def enter_slow_start(state: State, gate: Gate, started_at: float) -> None:
    """Starts slow start of an endpoint that has been warming up since `started_at`."""
    if gate.slow_start_at is None:
        state.actions.append(i.WriteLog(f"endpoint {gate.server} entered slow start"))
    gate.slow_start_at = started_at


def capacity(state: State, now: float, gate: Gate) -> float:
    """Returns how many call setups per ms the endpoint can take once warmed up.

    Estimated from the highest number of circuits seen in use in its cell, or from the fraction that is in use
    at the endpoints that are warmed up.
    """
    if now - gate.capacity_at > state.window / 2:
        ready = [g for g in state.gates.values() if g.state is i.EndpointState.READY]
        warmed_up = [g for g in ready if g.slow_start_at is None and g.max_used_circuits > 0]
        used = sum(g.max_used_circuits for g in warmed_up) / max(1.0, sum(g.circuits for g in warmed_up))
        seen_used = max(g.max_used_circuits for g in gates_of_cell(state, gate))
        circuits = max(seen_used, gate.circuits * max(MIN_USED, used))
        gate.capacity, gate.capacity_at = max(circuits / state.holding_time, 1 / PROBE_INTERVAL), now
        tolerated = TOLERATED_QUEUE / (gate.capacity * MIN_WAIT * state.max_objective)
        gate.tolerated_wait = MIN_WAIT * state.max_objective * max(1.0, min(4.0, tolerated))
    return gate.capacity


def call_fraction(state: State, now: float) -> float:
    """This softswitch's fraction of all calls; the fractions of all softswitches add up to 1.

    It is the mean of an equal fraction for each softswitch and of this one's fraction of the established
    calls.
    """
    if now - state.call_fraction_at > state.window / 2:
        gates, equal_fraction = state.gates.values(), 1 / state.settings.fleet_size
        used = {g.cell: g.circuits - g.available_circuits for g in gates if g.circuits_reported_at > LONG_AGO}
        total, own = sum(used.values()), sum(g.established for g in gates)
        by_calls = min(1.0, own / total) if total > 0 else equal_fraction
        state.call_fraction, state.call_fraction_at = (equal_fraction + by_calls) / 2, now
    return state.call_fraction


def probe_due(state: State, now: float, gate: Gate) -> bool:
    """Whether a closed gate may be probed: once per PROBE_INTERVAL.

    The interval is longer where the probes of all softswitches would exceed PROBE_FRACTION of the capacity.
    """
    if now < gate.closed_until or (gate.failures >= EJECTION_FAILURES and gate.queued()):
        return False
    fraction = state.constraints.share(i.SHARED_PROBES, gate.server, 1 / state.settings.fleet_size)
    interval = max(PROBE_INTERVAL, 1 / max(1e-9, fraction * PROBE_FRACTION * capacity(state, now, gate)))
    if now - gate.probed_at > 2 * interval > 2 * PROBE_INTERVAL:
        # A random start, so that the softswitches do not all probe at once.
        gate.probed_at = now - interval * state.random.random()
    return now - gate.probed_at >= interval


def pacing_allows(state: State, now: float, gate: Gate) -> bool:
    """Whether a call may be sent now; always, unless the endpoint is paced.

    An endpoint that is short of circuits, overloaded or in slow start is paced: this softswitch sends
    only its fraction of the calls that the endpoint can take.
    """
    settings, full_rate, fraction = state.settings, capacity(state, now, gate), call_fraction(state, now)
    if gate.slow_start_at is not None and now >= (warmed_up_at := gate.slow_start_at + settings.warm_up):
        gate.overloaded_until = max(gate.overloaded_until, warmed_up_at + OVERLOADED_FOR * state.window)
        gate.slow_start_at = None
    short, overloaded = gate.available_circuits < settings.fleet_size, now < gate.overloaded_until
    if not (short or overloaded or gate.slow_start_at is not None):
        gate.pacer.active = False
        return True
    used = gate.circuits - gate.available_circuits
    # Paced for lack of circuits: the rate at which calls end, plus the available circuits within a window.
    # 1e9 stands for an unlimited rate.
    rate = used / state.holding_time + gate.available_circuits / state.window if short else 1e9
    rate = min(rate, HEADROOM * max(gate.max_rate / 1000, full_rate)) if overloaded else rate
    lifetime = 2 / (fraction * max(rate, 1e-9))
    if gate.slow_start_at is not None:
        # Within one overload_window, the softswitches can use the permits issued in it, and those issued up
        # to one lifetime before it.
        # `level`: the fraction of its full capacity that the endpoint has reached so far.
        level = settings.initial_capacity ** (1 - (now - gate.slow_start_at) / settings.warm_up)
        budget = settings.overload_factor * SLOW_START_SAFETY / (1 + SLOW_START_LIFETIME)
        rate, lifetime = min(rate, budget * level * full_rate), settings.overload_window * SLOW_START_LIFETIME
        fraction = state.constraints.share(
            i.SHARED_SLOW_START, gate.server, fraction * settings.slow_start_share
        )
    return gate.pacer.available(now, rate * fraction, lifetime, state.random.random()) >= 1


def wait_limit(state: State, call: Call) -> float:
    """Ms that the call may wait at an endpoint; a lower weight allows a smaller fraction of the objective."""
    objective = call.call_class.latency_objective
    # The lowest limit is below the time of a retransmission, which doubles the work.
    low = min(objective * MIN_WAIT, state.settings.retransmit_after or 1e9)
    return low + (objective * MAX_WAIT - low) * call.weight / state.max_weight


def eligible(state: State, call: Call) -> list[Gate]:
    """The gates of ready endpoints that accept the call."""
    own, cells, ready = state.settings.own_cell, call.call_class.cells, i.EndpointState.READY
    gates = [g for g in state.gates.values() if g.state is ready and g not in call.failed_gates]
    gates = [g for g in gates if cells is None or g.cell in cells]
    gates = [g for g in gates if not call.request.transit or g.cell == call.request.destination_cell]
    return [g for g in gates if g.cell != own] if own >= 0 else gates


def within_quota(state: State, call: Call) -> list[Gate]:
    """The eligible gates to which the shared quotas allow an attempt now."""
    gates, may_attempt = eligible(state, call), state.constraints.may_attempt
    return [g for g in gates if may_attempt(call.call_class.name, g.server, call.attempts > 0)]


def choose(state: State, now: float, call: Call) -> Gate | None:
    """Selects the gate for the next attempt; None: no gate is open or due for a probe.

    A gate that is due for a probe comes first, then the destination's gate if it is open, then the better of
    two random open gates.
    """
    limit, circuits = wait_limit(state, call), call.request.circuits
    candidates = [
        g for g in within_quota(state, call) if g.circuits >= circuits and pacing_allows(state, now, g)
    ]
    opened = [g for g in candidates if g.is_open(now, limit)]
    direct = next((g for g in candidates if g.cell == call.request.destination_cell), None)
    due = [g for g in candidates if g not in opened and probe_due(state, now, g)]
    # Calls of the highest weight probe the destination only if no gate is open.
    probe_direct = not opened or call.weight < state.max_weight
    # Calls of the lowest weight probe ejected endpoints, which reopen only after a probe.
    probe_ejected = call.weight <= state.min_weight
    probes = [
        g
        for g in due
        if (g is direct and probe_direct) or (g.failures >= EJECTION_FAILURES and probe_ejected)
    ]
    if probes:
        gate = direct if direct in probes else state.random.choice(probes)
        gate.probed_at = now
        return gate
    if direct in opened or not opened:
        return direct if opened else None
    pair = state.random.sample(opened, min(2, len(opened)))
    return min(pair, key=lambda g: (len(g.in_flight), g.expected_wait(now)))
