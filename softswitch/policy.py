"""Which core server a set-up goes to, or that it is refused. Types: softswitch/interface.py.

A gate per core server is open while one more set-up would finish within its aim (docs/design.md).
Times are milliseconds. handle(now, event) -> actions; nothing here reads a clock or does I/O.
"""

from __future__ import annotations

from math import exp, floor, sqrt
from random import Random

from softswitch import interface as i

SMOOTH = 1000.0  # an answer's delay is smoothed, and ages, over about this long (the design's second)
LONGEST = 4.0  # a server heard more rarely is remembered longer, up to this many times that
TRIAL_EVERY = 1000.0  # a shut gate lets one trial set-up pass this often (the design's second)
TRIAL_SHARE = 0.2  # the trials of all fronts together, as a share of what the server bears
BEAT = 25.0  # held calls are looked at every two of these, open ones every four
PRESSED = 10.0  # a server found pressed gets no more than a share from each front for so many spans
FAULTY = 1.5  # faults that shut a gate but for trials: about every other set-up failing
STALL = 100.0  # a wake later than this shows that this front itself stood still
LOW, HIGH = 0.08, 0.15  # share of the aim that the least and the most worthy call may wait at a server
MOVE = 0.15  # share of the aim kept for the answer of an attempt that is sent elsewhere after silence
FEW = 3.0  # so many set-ups waiting at a server are no jam
HEADROOM = 1.25  # what a pressed server may get, times what it was seen to bear
COLD_SAFETY = 0.85  # share of the cold budget used: estimates are rough
COLD_LAPSE = 0.25  # an unused turn at a cold server lapses after this share of overload_for
SPARSE = 0.1  # share of its lines that a server surely fills, when none was seen at work
LONG_AGO, NAMES = -1e12, ("size", "free", "latency_ms", "qps", "queue")


class Gate:
    """What this front believes of one core server."""

    def __init__(self, entry: i.Entry, span: float) -> None:
        self.server, self.cell, self.span = entry.server, entry.cell, span
        self.state, self.started, self.cold_since = entry.state, entry.started, None
        self.out: dict[tuple[str, int], float] = {}  # own attempts unanswered -> when sent, oldest first
        self.delay, self.known = 0.0, LONG_AGO  # smoothed answer delay of own set-ups, and of when it is
        self.ahead = 0.0  # smoothed number of own set-ups unanswered at those answers
        self.told, self.told_at = 0.0, LONG_AGO  # the wait that its load reports tell of
        self.best = 0.0  # most set-ups a second that it told it could take, slowly forgotten
        self.heard, self.gap = LONG_AGO, 0.0  # when it last gave any sign, and how often it does
        self.passed = LONG_AGO  # when the newest set-up that has been answered was sent
        self.faults, self.broke = 0.0, LONG_AGO  # one more with each fault, halved by each that stands
        self.shut_until = self.trial_at = LONG_AGO  # a wait that a full processor told; the last trial
        self.pressed_until, self.standing = LONG_AGO, 0  # own calls that stand there
        self.paced, self.phase, self.phase_at, self.spent = False, 0.0, 0.0, 0  # this front's turns at it
        self.size, self.free = entry.weight, 1e12  # lines of its cell, and how many are free
        self.most, self.lines_at = 0.0, LONG_AGO  # most lines seen in use, slowly forgotten
        self.bears, self.bears_at, self.slow = 0.0, LONG_AGO, 0.0  # set-ups per ms it bears; a few

    def observe(self, now: float, delay: float) -> None:
        part = 1 - exp(-max(now - self.known, self.span / 5) / self.span)
        self.delay += part * (delay - self.delay)
        self.ahead += part * (len(self.live()) - self.ahead)
        self.known, self.told = now, 0.0
        self.pressed_until = now + PRESSED * self.span if delay > self.slow else self.pressed_until

    def wait(self, now: float) -> float:
        """Estimated delay of one more set-up. It lasts until the server is likely to be heard again."""
        live, memory = self.live(), min(max(self.span, self.gap), LONGEST * self.span)
        aged = self.delay * exp(-(now - self.known) / memory)
        aged *= (len(live) + 1) / (self.ahead + 1)  # all fronts are taken to do alike
        told = self.told * exp(-(now - self.told_at) / memory)
        # The oldest unanswered set-up bounds the delay from below: it sees a stall before any answer does.
        return max(aged, told, now - live[0] if live else 0.0)

    def live(self) -> list[float]:
        """Send times of set-ups that may wait in its queue, oldest first; an overtaken one is lost."""
        return [t for t in self.out.values() if t >= self.passed] if self.out else []

    def open(self, now: float, limit: float) -> bool:
        return self.faults < FAULTY and now >= self.shut_until and self.wait(now) < max(limit, self.slow)

    def turns(self, now: float, rate: float, last: float, drawn: float) -> int:
        """Set-ups that may go now at this rate. An unused turn lapses, so that fronts cannot save them up."""
        if not self.paced:  # a drawn start, or the first turns of all fronts would come together
            self.paced, self.phase, self.phase_at, self.spent = True, drawn, now, 0
        self.phase, self.phase_at = self.phase + rate * (now - self.phase_at), now
        self.spent = max(self.spent, floor(self.phase - rate * last))
        return floor(self.phase) - self.spent


class Call:
    """The record of one call that this front still owes an answer."""

    def __init__(self, now: float, event: i.SetUp, klass: i.CallClass, most: int) -> None:
        self.id, self.klass, self.event, self.most = event.call, klass, event, most  # most: attempts
        self.came, self.deadline = now, now + event.grace
        self.value = klass.worth * (klass.late_share if event.redial else 1.0)  # a redial is late already
        self.at: Gate | None = None  # where its attempt is out
        self.sends, self.ready = 0, now  # attempts made; not to be sent before: the release wait
        self.may_have_run = self.cancelling = False
        self.kind, self.end = (klass.name, self.value, event.dest), LONG_AGO  # end: given up by then
        self.erred: list[Gate] = []  # servers that called it an error: theirs only if it stands elsewhere


class Controller:
    """One front's decisions."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.gates: dict[str, Gate] = {}
        self.calls: dict[str, Call] = {}
        self.patience: dict[str, float] = {}  # longest grace of a first try seen, by class
        self._settle(settings)
        self.bound: i.Constraints | None = None  # what is shared with other fronts
        self.held: dict[str, Call] = {}  # calls with no attempt out, in order of arrival
        self.held_top, self.served_at = -1.0, LONG_AGO  # most worth among those held when last served; when
        self.stacks: dict[tuple, list[Call]] = {}  # held calls that may go, by kind, the newest last
        self.resting, self.swept_at = [], LONG_AGO  # held for the release; when all held were last looked at
        self.tokens: dict[int, str] = {}
        self.next_token, self.beat_due = 1, None  # 0 is the token of the beat
        self.last, self.lag = LONG_AGO, 0.0  # when the last event came; how long this front just stood still
        self.acts, self.quickest = [], 0.0  # what is to be done; the quickest answer of any server
        self.share, self.share_at = 1 / settings.fleet_size, LONG_AGO  # this front's share of all calls

    def _settle(self, settings: i.Settings) -> None:
        """These settings hold from now on. What was learned of the servers, and calls' classes, stay."""
        self.set, self.classes = settings, {c.name: c for c in settings.classes}
        worths = [c.worth for c in settings.classes]
        self.top, self.least = max(worths) or 1.0, min(worths)
        self.worst = max(c.aim for c in settings.classes)
        self.span = min(SMOOTH, self.worst / 2)  # where aims are short, a second is too long to look back
        self.hold = sum(c.hold for c in settings.classes) / len(settings.classes) or self.worst
        self.patience = {name: self.patience.get(name, 0.0) for name in self.classes}
        for gate in self.gates.values():
            gate.span, gate.bears_at = self.span, LONG_AGO
        for call in self.calls.values():  # fewer attempts bind at once, more only those who come
            call.most = min(call.most, settings.max_attempts)

    def start(self, now: float) -> list[i.Action]:
        return [] if self.set.list_pushed else [i.Follow()]

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.acts = []
        if now > self.last:
            self._stood_still(now)
        match event:
            case i.SetUp():
                self._set_up(now, event)
            case i.Stands() | i.Ended():
                self._answered(now, event)
            case i.CallerGone():
                self._forget(event.call)
            case i.Wake():
                self._wake(now, event.token)
            case i.ListNews():
                self._list(now, event)
            case i.NewSettings():
                self._settle(event.settings)
            case i.NewConstraints():
                self.bound = event.constraints
            case i.Sampled():
                self._report(now, event.server, event.report, unasked=True)
        if not isinstance(event, i.SetUp) and self.held and now > self.served_at:
            self._serve(now)
        if self.calls and self.beat_due is None:
            self.beat_due = now + (2 if self.held else 4) * BEAT
            self.acts.append(i.WakeAt(self.beat_due, 0))
        return self.acts

    def avoided(self, now: float, servers: list[str]) -> int:
        """How many of these servers are out of use: draining, barred but for trials, or as they asked."""
        gates = [self.gates.get(s) for s in servers]
        return sum(
            g is None or g.state is not i.State.READY or g.faults >= FAULTY or now < g.shut_until
            for g in gates
        )

    # events

    def _stood_still(self, now: float) -> None:
        """A wake that is overdue shows it. What waited meanwhile is no delay of any server."""
        self.lag = now - self.last if self.beat_due is not None and now - self.beat_due > STALL else 0.0
        self.last = now
        if self.lag:
            self.beat_due = now
            self.acts.append(i.Log(f"this front stood still for {self.lag:.0f} ms"))
            for gate in self.gates.values():
                gate.out = {k: min(now, sent + self.lag) for k, sent in gate.out.items()}

    def _set_up(self, now: float, event: i.SetUp) -> None:
        klass = self.classes.get(event.klass)
        if event.call in self.calls or klass is None:
            return None if event.call in self.calls else self.acts.append(i.Refuse(event.call))
        wait = self.bound.admit(klass.name, klass.worth) if self.bound else 0.0
        if wait:  # to come again as the budget opens
            advice = min(wait, self.set.max_advice) * self.set.may_advise
            return self.acts.append(i.Refuse(event.call, advice))
        call = self.calls[event.call] = Call(now, event, klass, self.set.max_attempts)
        if not event.redial:
            most = self.patience[klass.name] = max(event.grace, self.patience[klass.name])
            call.came -= min(self.lag, most - event.grace)  # it came while this front stood still
        self.tokens[self.next_token] = event.call
        self.acts.append(i.WakeAt(call.deadline, self.next_token))
        self.next_token += 1
        self.held[call.id] = call
        if self.bound:
            self.bound.wanted(klass.name, False, klass.worth)
        if call.value > self.held_top:  # else those held before it go first, within a beat
            self._try(now, call)
        self._stack(now, call)
        return None

    def _answered(self, now: float, event: i.Stands | i.Ended) -> None:
        gate, outcome = self.gates.get(event.server), getattr(event, "outcome", None)  # None: it stands
        if gate:
            self._report(now, event.server, getattr(event, "report", ()))
            self._learn(now, gate, event, outcome, gate.out.pop((event.call, event.attempt), None))
        self._freed(now, event, outcome)

    def _fault(self, gate: Gate) -> None:
        gate.faults += 1
        if FAULTY <= gate.faults < FAULTY + 1:
            self.acts.append(i.Log(f"{gate.server} fails or is silent: trials only"))

    def _learn(
        self, now: float, gate: Gate, event: i.Stands | i.Ended, outcome: i.Outcome | None, sent: float | None
    ) -> None:
        """What an answer tells of its server; `sent` is None for a call that stood before."""
        gate.standing = max(0, gate.standing + (outcome is None) - (sent is None))
        if outcome in (i.Outcome.RESET, i.Outcome.CONNECT_FAILED):
            gate.faults += gate.state is i.State.READY and gate.broke < now  # a broken link fails all on it
            gate.broke = now
            if gate.faults >= FAULTY and outcome is i.Outcome.CONNECT_FAILED:
                self._cold(now, gate)  # its process is gone: it may come back before the list says so
                gate.faults = 0.0  # its turns are trial enough
        elif outcome in (i.Outcome.TIMEOUT, i.Outcome.CANCELLED):
            if sent is not None and gate.heard < sent:
                gate.observe(now, max(gate.delay, now - sent))
                self._fault(gate)
        elif outcome is not i.Outcome.MOOT:
            gate.gap += (now - gate.heard - gate.gap) / 5 if gate.heard > LONG_AGO else 0.0
            gate.heard = now
            if gate.lines_at == LONG_AGO:  # lines never told: all fronts are taken to hold as many calls
                gate.most = max(0.98 * gate.most, gate.standing * self.set.fleet_size)
            if sent is None:
                return
            delay = now - sent
            self.quickest = min(self.quickest or delay, delay)
            gate.passed = max(gate.passed, sent)
            if outcome is i.Outcome.FULL and event.busy:
                gate.observe(now, max(delay, self.worst))
                gate.delay, gate.ahead = max(gate.delay, self.worst), 0.0  # full: a wait beyond every aim
                gate.shut_until = now + event.told_wait
            elif outcome is i.Outcome.FULL:
                gate.free = 0.0
            elif outcome is not i.Outcome.ERROR:
                gate.faults /= 2
                if not self.lag or delay > gate.wait(now):  # in a heap of old news the delay is not known
                    gate.observe(now, delay)

    def _freed(self, now: float, event: i.Stands | i.Ended, outcome: i.Outcome | None) -> None:
        """An attempt is over, or its call stands: what becomes of the call."""
        call = self.calls.get(event.call)
        if call is None or call.at is None or event.attempt != call.sends - 1:
            return None
        for gate in call.erred if outcome is None else ():  # the call was good: it was they that failed
            self._fault(gate)  # a server that fails at once looks quick, and would draw calls
        if outcome is None or event.closed:
            return self._forget(event.call)
        call.erred += [call.at] if outcome is i.Outcome.ERROR and not event.callee else []
        call.at, call.cancelling = None, False
        if outcome in (i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            call.ready = now + self.set.release  # fifth rule
        call.may_have_run |= outcome not in (i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.MOOT)
        self.held[call.id] = call
        if self.bound:
            self.bound.wanted(call.klass.name, True, call.value)
        self._try(now, call)
        self._stack(now, call)
        return None

    def _wake(self, now: float, token: int) -> None:
        if token:
            call = self.calls.get(self.tokens.pop(token, ""))
            return self._give_up(call, late=True) if call and now >= call.deadline else None
        self.beat_due = None
        for call in self.calls.values() if self.set.may_cancel else ():
            gate, last = call.at, call.sends >= call.most
            if gate is None or call.cancelling or not call.klass.repeatable or last:
                continue
            sent = gate.out.get((call.id, call.sends - 1), now)
            left = call.came + call.klass.aim * (1 - MOVE) - self.set.release - now
            # Overtaken: lost, sent anew. Silent since: moved at the last moment that leaves time to stand.
            lost = sent < gate.passed - 2 * BEAT and now - sent > 2 * gate.delay
            silent = gate.heard < sent and now - sent >= 2 * BEAT and left < 5 * BEAT
            if (
                left >= 0
                and (lost or silent)
                and any(g.open(now, self._limit(call)) for g in self._eligible(call) if lost or g is not gate)
            ):
                call.cancelling = True
                self.acts.append(i.Cancel(call.id, call.sends - 1))
        return None

    def _list(self, now: float, event: i.ListNews) -> None:
        if event.kind is i.ListKind.FAILED:
            return self.acts.append(i.Follow())
        named = {e.server for e in event.entries}
        for gate in self.gates.values():
            if event.kind is not i.ListKind.CHANGES and gate.server not in named:
                gate.state = i.State.GONE
        for entry in event.entries:
            old = gate = self.gates.get(entry.server)
            fresh = gate is None or gate.started != entry.started
            if gate is None or (fresh and entry.started):
                gate = self.gates[entry.server] = Gate(entry, self.span)
                if old:
                    gate.out, gate.size, gate.free, gate.most = old.out, old.size, old.free, old.most
            gate.state, gate.cell, gate.started = entry.state, entry.cell, entry.started
            if fresh and entry.started and now - entry.started < self.set.cold:
                self._cold(entry.started, gate)
        for server in [s for s, g in self.gates.items() if g.state is i.State.GONE and not g.out][:-8]:
            del self.gates[server]  # the last few stay: what their cells bore tells of who took their place
        return None

    def _report(self, now: float, server: str, report: tuple[float, ...], unasked: bool = False) -> None:
        gate, told = self.gates.get(server), dict(zip(self.set.report_fields, report, strict=False))
        if gate is None:
            return
        size, free, wait, qps, queue = (told.get(name, -1.0) for name in NAMES)
        if size >= 0 and free >= 0:
            taken, since = gate.size - gate.free, min(now - gate.lines_at, self.hold)
            if taken > 0 and unasked and gate.state is i.State.READY and len(self._kin(gate)) == 1:
                if free - gate.free > 3 * (taken * since / self.hold + sqrt(taken)):  # so many: it was down
                    self._cold(now, gate)
            gate.size, gate.free, gate.lines_at = size, free, now
            gate.most = max(size - free, gate.most * exp(-since / (2 * self.hold)))
        if qps >= 0:
            gate.best = max(qps, gate.best * exp((max(gate.told_at, now - self.span) - now) / 15 / self.span))
            if wait < 0 and gate.best > 0:
                wait = self.worst * max(0.0, 1 - 2 * qps / gate.best)
                wait = 1000.0 * queue / gate.best if queue >= 0 else wait
        if wait >= 0:
            gate.told, gate.told_at = wait, now
            gate.pressed_until = now + PRESSED * self.span if wait > gate.slow else gate.pressed_until

    # decisions

    def _serve(self, now: float) -> None:
        """Sends what may go, most worth first; refuses what can no longer stand within its aim."""
        self.held_top, self.served_at, back, self.resting = -1.0, now, self.resting, []
        sweep = now >= self.swept_at + min(BEAT, len(self.held) / 20)
        if sweep:  # of a thousand held calls, all only once a beat; of few at every tick
            self.swept_at, self.stacks = now, {}
            back = sorted(reversed(self.held.values()), key=lambda c: c.came)
        for call in back:
            self._stack(now, call)
        kinds = [kind for kind, stack in self.stacks.items() if stack]
        while kinds:  # the newest call of the kind of most worth; a kind that finds no open gate is done
            kind = max(kinds, key=lambda k: (k[1], self.stacks[k][-1].came))
            call = self.stacks[kind][-1]
            if self.held.get(call.id) is not call or now < call.ready or self._try(now, call):
                self.stacks[kind].pop()
            if not self.stacks[kind] or (self.stacks[kind][-1] is call and call.id in self.held):
                kinds.remove(kind)
        for call in [c for c in self.held.values() if c.ready <= now and now >= c.end] if sweep else ():
            self._try(now, call, True)

    def _stack(self, now: float, call: Call) -> None:
        if call.id in self.held:
            (self.stacks.setdefault(call.kind, []) if now >= call.ready else self.resting).append(call)

    def _try(self, now: float, call: Call, shut: bool = False) -> bool:
        """Sends the call, or ends it if it has no attempt or time left; False: no gate was open to it."""
        barred = call.erred and (len(call.erred) > 1 or not self._eligible(call))  # by itself, it seems
        if self.bound and call.sends and not barred:  # repeats that others have spent: it is answered at once
            barred = not self._paid(call, self._eligible(call))
        if barred or call.sends >= call.most or (call.may_have_run and not call.klass.repeatable):
            self._give_up(call)
            return True
        gate = None if shut or now < call.ready else self._choose(now, call)
        call.end = min(call.deadline - 2 * BEAT, call.came + call.klass.aim - self._limit(call))
        if gate is not None:
            self._send(now, call, gate)
        elif now >= call.ready and now >= call.end:
            self._give_up(call)  # held while every gate is shut: waiting here costs the servers no repeats
        elif now >= call.ready:
            self.held_top = max(self.held_top, call.value)
        return gate is not None

    def _limit(self, call: Call) -> float:
        """How long a set-up of this worth may wait at a server: less worth, less of the aim."""
        low = min(call.klass.aim * LOW, self.set.repeat_after or 1e9)  # past a first repeat: work twice
        limit = low + (call.klass.aim * HIGH - low) * call.value / self.top
        return max(limit, min(2 * self.quickest, call.klass.aim / 2))  # far servers answer late at best

    def _eligible(self, call: Call) -> list[Gate]:
        cells, own, dest = call.klass.cells, self.set.own_cell, call.event.dest
        return [
            g
            for g in self.gates.values()
            if g.state is i.State.READY
            and (cells is None or g.cell in cells)
            and g not in call.erred
            and (g.cell != own or own < 0)
            and (g.cell == dest or not call.event.transit)
        ]

    def _paid(self, call: Call, gates: list[Gate]) -> list[Gate]:
        """Those of them where what is shared with other fronts lets it go now."""
        name, repeat = call.klass.name, call.sends > 0
        return [g for g in gates if self.bound.may(name, g.server, repeat)] if self.bound else gates

    def _choose(self, now: float, call: Call) -> Gate | None:
        limit = self._limit(call)
        able = [
            g
            for g in self._paid(call, self._eligible(call))
            if g.size >= call.event.width and self._turn(now, g)
        ]
        opened = [g for g in able if g.open(now, limit)]
        direct = next((g for g in able if g.cell == call.event.dest), None)
        due = [g for g in able if g not in opened and self._trial_due(now, g)]
        tries = [
            g
            for g in due
            if (g is direct and (not opened or call.value < self.top))
            or (g.faults >= FAULTY and call.value <= self.least)
        ]  # barred: opens by a trial alone
        if tries:
            gate = direct if direct in tries else self.random.choice(tries)
            gate.trial_at = now
            return gate
        if direct in opened or not opened:
            return direct if opened else None
        return min(self.random.sample(opened, min(2, len(opened))), key=lambda g: (len(g.out), g.wait(now)))

    def _send(self, now: float, call: Call, gate: Gate) -> None:
        gate.spent += 1
        gate.out[(call.id, call.sends)] = now
        if self.bound:
            self.bound.sent(call.klass.name, gate.server, call.sends > 0)
        call.at, call.sends = gate, call.sends + 1
        del self.held[call.id]
        self.acts.append(i.Attempt(call.id, gate.server))

    def _give_up(self, call: Call, late: bool = False) -> None:
        fails = late or (call.may_have_run and not call.klass.repeatable)
        act = i.Fail(call.id) if fails else i.Refuse(call.id, self.set.max_advice * self.set.may_advise)
        self.acts.append(act)
        self._forget(call.id)

    def _forget(self, call_id: str) -> None:
        self.calls.pop(call_id, None)
        self.held.pop(call_id, None)

    # this front's part of what a server can do

    def _kin(self, gate: Gate) -> list[Gate]:
        """The servers of its cell: itself, and one that it replaces or that replaces it. They share lines."""
        return [g for g in self.gates.values() if g.cell == gate.cell]

    def _bears(self, now: float, gate: Gate) -> float:
        """Set-ups per ms that it bears when warm: what its cell was seen to bear, or as its warm like."""
        if now - gate.bears_at > self.span / 2:
            warm = [
                g
                for g in self.gates.values()
                if g.state is i.State.READY and g.cold_since is None and g.most > 0
            ]
            fill = max(SPARSE, sum(g.most for g in warm) / max(1.0, sum(g.size for g in warm)))
            seen = max(g.most for g in self._kin(gate))
            gate.bears, gate.bears_at = max(max(seen, gate.size * fill) / self.hold, 1 / TRIAL_EVERY), now
            gate.slow = LOW * self.worst * max(1.0, min(4.0, FEW / (gate.bears * LOW * self.worst)))
        return gate.bears

    def _share(self, now: float) -> float:
        """This front's share of all calls, half by head, half by those standing: over all, one."""
        if now - self.share_at > self.span / 2:
            cells = {g.cell: g.size - g.free for g in self.gates.values() if g.lines_at > LONG_AGO}
            taken, own = sum(cells.values()), sum(g.standing for g in self.gates.values())
            held, self.share_at = min(1.0, own / taken) if taken > 0 else 1 / self.set.fleet_size, now
            self.share = (1 / self.set.fleet_size + held) / 2
        return self.share

    def _held(self, what: str, gate: Gate, fixed: float) -> float:
        """This front's share of it by what is divided among the fronts; `fixed` where that is not."""
        held = self.bound.share(what, gate.server) if self.bound else None
        return fixed if held is None else held

    def _trial_due(self, now: float, gate: Gate) -> bool:
        """One trial a second, or fewer where those of all fronts would be more than a small share."""
        if now < gate.shut_until or (gate.faults >= FAULTY and gate.live()):
            return False
        part = self._held("probes", gate, 1 / self.set.fleet_size)
        every = max(TRIAL_EVERY, 1 / max(1e-9, part * TRIAL_SHARE * self._bears(now, gate)))
        if now - gate.trial_at > 2 * every > 2 * TRIAL_EVERY:  # drawn, or all would try a newly shut one
            gate.trial_at = now - every * self.random.random()
        return now - gate.trial_at >= every

    def _cold(self, since: float, gate: Gate) -> None:
        if gate.cold_since is None:
            self.acts.append(i.Log(f"{gate.server} taken for cold"))
        gate.cold_since = since

    def _turn(self, now: float, gate: Gate) -> bool:
        """A server short of lines, pressed or cold gets from this front its share of what it can do."""
        bears, share = self._bears(now, gate), self._share(now)
        if gate.cold_since is not None and now >= (warm := gate.cold_since + self.set.cold):
            gate.pressed_until = max(gate.pressed_until, warm + PRESSED * self.span)
            gate.cold_since = None
        short, pressed = gate.free < self.set.fleet_size, now < gate.pressed_until
        if not (short or pressed or gate.cold_since is not None):
            gate.paced = False
            return True
        rate = (gate.size - gate.free) / self.hold + gate.free / self.span if short else 1e9
        rate = min(rate, HEADROOM * max(gate.best / 1000, bears)) if pressed else rate
        lapse = 2 / (share * max(rate, 1e-9))
        if gate.cold_since is not None:
            # All fronts together send within overload_for what becomes due in that time and the lapse.
            level = self.set.cold_from ** (1 - (now - gate.cold_since) / self.set.cold)
            most = self.set.overload_factor * COLD_SAFETY / (1 + COLD_LAPSE)
            rate, share = min(rate, most * level * bears), self._held("cold", gate, share * self.set.part)
            lapse = self.set.overload_for * COLD_LAPSE
        return gate.turns(now, rate * share, lapse, self.random.random()) >= 1
