"""Queues calls; sends, retries and cancels attempts; gives up calls: `handle(now, event) -> actions`.

A call is sent through an open *gate*, the admission gate of one endpoint (`state.Gate`), or as a probe
through a closed one. Otherwise the call is queued. A *sweep* is a periodic review: of the attempts in flight,
which may be stuck, when the sweep timer fires; of all queued calls in `_serve_queue`.
"""

from softswitch import interface as i
from softswitch.policy import endpoints
from softswitch.policy.state import LONG_AGO, Call, Gate, State

SWEEP_INTERVAL = 25.0  # ms; the sweep timer is set to two of these while calls are queued, otherwise four
SWEEP_TOKEN = 0  # token of the sweep timer; the tokens of the calls' timers count from 1
STALL_THRESHOLD = 100.0  # ms; a timer that fires later than this shows a stall of this process
ANSWER_RESERVE = 0.15  # fraction of the objective reserved for the next answer when an attempt is cancelled
MAX_FAILED_GATES = 1  # if more endpoints answer a call with an error, the call itself is taken to be invalid


class Controller(State):
    """Decisions of one softswitch."""

    def __init__(self, settings: i.Settings, seed: int, limits: i.CallLimits = i.NO_CALL_LIMITS) -> None:
        super().__init__(settings, seed)
        self.limits = limits
        self.max_timeout: dict[str, float] = {}  # ms; longest timeout of a first call setup, by class
        self.queued: dict[i.CallId, Call] = {}  # calls with no attempt in flight, in order of arrival
        # Queued calls that are ready to send, by `Call.stack_key`; the newest call of a stack is last.
        self.stacks: dict[tuple[str, float, int], list[Call]] = {}
        self.delayed: list[Call] = []  # queued calls that wait for retry_delay
        self.max_blocked_weight = -1.0  # highest weight of the calls that found no open gate
        # When the queue was last served, when it was last swept, and the time of the last event.
        self.served_at = self.swept_at = self.last_event_at = LONG_AGO
        self.timers, self.next_token = dict[int, i.CallId](), SWEEP_TOKEN + 1  # token: call id
        self.sweep_due: float | None = None
        self._handlers: dict[type, i.EventHandler] = {
            i.SetupRequested: self._setup_requested,
            i.AttemptAnswered: self._attempt_event,
            i.AttemptEnded: self._attempt_event,
            i.CallerAbandoned: lambda now, event: self._forget(event.call),
            i.TimerFired: self._timer_fired,
            i.EndpointsChanged: lambda now, event: endpoints.endpoints_changed(self, now, event),
            i.LoadReported: lambda now, event: endpoints.load_reported(self, now, event),
            i.SettingsChanged: lambda now, event: self.apply(event.settings),
            i.ConstraintsChanged: lambda now, event: setattr(self, "constraints", event.constraints),
            i.PeerMessageReceived: lambda now, event: None,
        }

    def start(self, now: float) -> list[i.Action]:
        """Returns the actions before the first event."""
        return [] if self.settings.list_pushed else [i.SubscribeEndpoints()]

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Handles an event and returns the resulting actions."""
        self.actions = []
        if now > self.last_event_at:
            self._detect_stall(now)
        self._handlers[type(event)](now, event)
        if not isinstance(event, i.SetupRequested) and self.queued and now > self.served_at:
            self._serve_queue(now)
        if self.calls and self.sweep_due is None:
            self.sweep_due = now + (2 if self.queued else 4) * SWEEP_INTERVAL
            self.actions.append(i.StartTimer(self.sweep_due, SWEEP_TOKEN))
        return self.actions

    def _detect_stall(self, now: float) -> None:
        """Detects a stall of this process by an overdue timer; excludes it from the delays of endpoints."""
        overdue = self.sweep_due is not None and now - self.sweep_due > STALL_THRESHOLD
        stalled = self.stalled_for = now - self.last_event_at if overdue else 0.0
        self.last_event_at = now
        if stalled:
            self.sweep_due = now
            self.actions.append(i.WriteLog(f"this process was stalled for {stalled:.0f} ms"))
            for gate in self.gates.values():
                gate.in_flight = {key: min(now, sent + stalled) for key, sent in gate.in_flight.items()}

    def _setup_requested(self, now: float, event: i.SetupRequested) -> None:
        call_class = self.classes.get(event.call_class)
        if event.call in self.calls:
            return
        wait = self.limits.admit(now, event, call_class, self.constraints) if call_class else 0.0
        if call_class is None or wait:  # the caller may retry when the quota opens
            self.actions.append(i.Reject(event.call, min(wait, self.settings.retry_after)))
            return
        weight = self.limits.weight_of(now, event, call_class, self.call_fraction)
        call = self.calls[event.call] = Call(now, event, call_class, weight)
        call.max_attempts = self.settings.max_attempts
        if not event.redial:
            max_timeout = max(event.timeout, self.max_timeout.get(event.call_class, 0.0))
            self.max_timeout[event.call_class] = max_timeout
            # A timeout below the maximum shows that the call setup waited unread during the stall.
            call.received_at -= min(self.stalled_for, max_timeout - event.timeout)
        self.timers[self.next_token] = event.call
        self.actions.append(i.StartTimer(call.deadline, self.next_token))
        self.next_token += 1
        self.queued[call.id] = call
        self.constraints.attempt_wanted(call_class.name, False, call_class.priority_weight)
        # Otherwise a queued call of this weight or more found no open gate, and `_serve_queue` decides.
        if call.weight > self.max_blocked_weight:
            self._try(now, call)
        self._stack(now, call)

    def _attempt_event(self, now: float, event: i.AttemptEvent) -> None:
        """Handles an answered or ended attempt: the call is finished, retried or given up."""
        endpoints.record_attempt_event(self, now, event)
        call, outcome = self.calls.get(event.call), event.outcome
        self.limits.record_attempt_event(now, event, call.request if call else None)
        if call is None or call.gate is None or event.attempt != call.attempts - 1:
            return
        for gate in call.failed_gates if outcome is None else ():
            endpoints.count_failure(self, gate)  # the call is valid, so the endpoint was at fault
        if outcome is None or event.call_over:
            self._forget(event.call)
            return
        if outcome is i.Outcome.ERROR and not event.callee_busy:
            call.failed_gates.append(call.gate)
        call.max_attempts = 0 if event.callee_busy else call.max_attempts  # busy at every endpoint
        call.gate, call.cancelling = None, False
        if outcome in i.DELAYS_RETRY:
            call.ready_at = now + self.settings.retry_delay
        call.may_have_run |= outcome not in i.NEVER_RAN
        call.unsafe = call.may_have_run and not call.call_class.idempotent
        self.queued[call.id] = call
        self.constraints.attempt_wanted(call.call_class.name, True, call.weight)
        self._try(now, call)
        self._stack(now, call)

    def _timer_fired(self, now: float, event: i.TimerFired) -> None:
        timed_call = self.timers.pop(event.token, None)
        expired = self.calls.get(timed_call) if timed_call is not None else None
        if expired is not None and now >= expired.deadline:
            self._give_up(expired, late=True)
        if event.token == SWEEP_TOKEN:
            self.sweep_due = None
            for call in self.calls.values() if self.settings.may_cancel else ():
                if call.gate is not None and not call.cancelling and self._stuck(now, call, call.gate):
                    call.cancelling = True
                    self.actions.append(i.CancelAttempt(call.id, call.attempts - 1))

    def _stuck(self, now: float, call: Call, gate: Gate) -> bool:
        """Whether to cancel the attempt: it is lost, or unanswered with just enough time left for another."""
        sent_at = gate.in_flight.get((call.id, call.attempts - 1), now)
        objective = call.call_class.latency_objective * (1 - ANSWER_RESERVE)
        remaining = call.received_at + objective - self.settings.retry_delay - now
        overtaken = sent_at < gate.newest_answered - 2 * SWEEP_INTERVAL
        lost = overtaken and now - sent_at > 2 * gate.estimate.delay
        silent = gate.answered_at < sent_at and now - sent_at >= 2 * SWEEP_INTERVAL
        movable = call.call_class.idempotent and call.attempts < call.max_attempts and remaining >= 0
        if not movable or not (lost or (silent and remaining < 5 * SWEEP_INTERVAL)):
            return False
        limit, gates = endpoints.wait_limit(self, call), endpoints.eligible(self, call)
        return any(g.is_open(now, limit) for g in gates if lost or g is not gate)

    def _serve_queue(self, now: float) -> None:
        """Sends the queued calls that find an open gate, highest weight first; gives up overdue calls."""
        self.max_blocked_weight, self.served_at = -1.0, now
        to_stack, self.delayed = self.delayed, []
        sweep = now >= self.swept_at + min(SWEEP_INTERVAL, len(self.queued) / 20)
        if sweep:  # a thousand queued calls are swept only once per interval, a few at every tick
            self.swept_at, self.stacks = now, {}
            to_stack = sorted(reversed(self.queued.values()), key=lambda call: call.received_at)
        for call in to_stack:
            self._stack(now, call)
        keys = [key for key, stack in self.stacks.items() if stack]
        # Tries the newest call of the stack of highest weight. A stack that finds no open gate is done.
        while keys:
            key = max(keys, key=lambda k: (k[1], self.stacks[k][-1].received_at))
            stack, call = self.stacks[key], self.stacks[key][-1]
            if self.queued.get(call.id) is not call or now < call.ready_at or self._try(now, call):
                stack.pop()
            if not stack or (stack[-1] is call and call.id in self.queued):
                keys.remove(key)
        for call in [c for c in self.queued.values() if c.ready_at <= now >= c.give_up_at] if sweep else ():
            self._try(now, call, may_send=False)

    def _stack(self, now: float, call: Call) -> None:
        if call.id in self.queued:
            stack = self.stacks.setdefault(call.stack_key, []) if now >= call.ready_at else self.delayed
            stack.append(call)

    def _try(self, now: float, call: Call, may_send: bool = True) -> bool:
        """Sends the call, or gives it up if no attempt or time is left; returns False if no gate was open."""
        if self._exhausted(call):
            self._give_up(call)
            return True
        ready = now >= call.ready_at
        gate = endpoints.choose(self, now, call) if may_send and ready else None
        latest = call.received_at + call.call_class.latency_objective - endpoints.wait_limit(self, call)
        call.give_up_at = min(call.deadline - 2 * SWEEP_INTERVAL, latest)
        if gate is not None:
            self._send(now, call, gate)
        elif ready and now >= call.give_up_at:
            # Until then the call waits in this queue: the network retransmits a setup that an endpoint
            # leaves waiting.
            self._give_up(call)
        elif ready:
            self.max_blocked_weight = max(self.max_blocked_weight, call.weight)
        return gate is not None

    def _exhausted(self, call: Call) -> bool:
        """Whether no attempt is allowed any more, or the shared quotas leave no endpoint for a retry."""
        if call.attempts >= call.max_attempts or call.unsafe or len(call.failed_gates) > MAX_FAILED_GATES:
            return True
        limited = call.failed_gates or self.constraints is not i.UNLIMITED
        return bool(call.attempts and limited) and not endpoints.within_quota(self, call)

    def _send(self, now: float, call: Call, gate: Gate) -> None:
        gate.pacer.used += 1
        gate.in_flight[(call.id, call.attempts)] = now
        self.constraints.attempt_sent(call.call_class.name, gate.server, call.attempts > 0)
        call.gate, call.attempts = gate, call.attempts + 1
        del self.queued[call.id]
        self.actions.append(i.SendAttempt(call.id, gate.server))

    def _give_up(self, call: Call, late: bool = False) -> None:
        # `late`: the deadline has passed. Even then, a call that was never sent is rejected, not failed.
        failed = call.unsafe or (late and (call.may_have_run or call.gate is not None))
        self.actions.append(i.Fail(call.id) if failed else i.Reject(call.id, self.settings.retry_after))
        self._forget(call.id)

    def _forget(self, call_id: i.CallId) -> None:
        self.calls.pop(call_id, None)
        self.queued.pop(call_id, None)
