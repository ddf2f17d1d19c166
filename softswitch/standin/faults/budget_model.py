"""Model checker for the budgets: explores every order of events from given states to a given depth.

Events: time passes, a timer of a member runs (late or not at all), a message arrives, is lost or stays in
flight, a member crashes and restarts without any state, the load moves to another member. Clocks drift as far
as the plan allows.

Invariants in each state: at most one member is the allocator, and for each budget the maximums that the
members held within the last window sum to no more than the total. The second implies that no slot can have
been used twice in a window, whichever member spends when.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from softswitch.budgets.lease_client import LeaseClient, SendMessage
from softswitch.budgets.lease_holder import Need
from softswitch.budgets.plan import Budget, Plan
from softswitch.standin.faults.budget_simulation import address_of

STEP = 250.0  # ms of true time that pass in one event
MAX_IN_FLIGHT = 4  # messages; one more drops the oldest, like a loss


class FixedRandom:
    """Deterministic replacement for `Random`: distinct numbers, and the middle of each range."""

    def __init__(self, seed: int) -> None:
        self.next = seed << 32

    def getrandbits(self, bits: int) -> int:
        """The next number; `bits` is ignored."""
        self.next += 1
        return self.next

    def uniform(self, low: float, high: float) -> float:
        """The middle of the range."""
        return (low + high) / 2

    def randrange(self, n: int) -> int:
        """Always 0."""
        return 0


@dataclass
class ModelState:
    """The state of all members and of the messages in flight."""

    now: float  # true time, ms
    clients: list[LeaseClient]
    rates: tuple[float, ...]  # of each member's clock, relative to true time
    in_flight: list[tuple[int, Any]] = field(default_factory=list)  # receiver, message
    loaded_member: int = 0  # the member that needs most of the slots
    load_moves: int = 0
    crashes: int = 0
    boots: int = 0  # starts of all members
    # by member and budget: times of observation and slots held then
    held_history: dict[tuple[int, str], list[tuple[float, int]]] = field(default_factory=dict)

    def clock(self, n: int) -> float:
        """The reading of a member's clock."""
        return 1e6 * (n + 1) + self.now * self.rates[n]


def small_plan(members: int, drift: float = 0.02) -> Plan:
    """A plan with two small budgets; the first three members are voters."""
    addresses = tuple(address_of(n) for n in range(members))
    budgets = (Budget("a", "set-ups", 6, 1, 500.0), Budget("b", "set-ups", 3, 0, 250.0))
    return Plan(budgets, addresses, addresses[:3], lease=1_000.0, promise=750.0, drift=drift)


class Model:
    """The members, the events that are possible, and the invariants."""

    def __init__(self, members: int, plan: Plan | None = None, crashes: int = 1, load_moves: int = 1) -> None:
        self.plan, self.members = plan or small_plan(members), members
        self.max_crashes, self.max_load_moves = crashes, load_moves
        self.index = {address_of(n): n for n in range(members)}  # by address
        self.violation = ""

    def start(self) -> ModelState:
        """The state at the start of all members."""
        d = self.plan.drift
        rates = tuple((1 + d, 1 - d, 1.0)[n % 3] for n in range(self.members))
        state = ModelState(0.0, [], rates)
        for n in range(self.members):
            state.clients.append(self._new_client(state, n))
        self._set_needs(state)
        return state

    def _new_client(self, state: ModelState, n: int) -> LeaseClient:
        state.boots += 1
        client = LeaseClient(self.plan, address_of(n), state.boots, 1, state.clock(n))
        fixed: Any = FixedRandom(state.boots)
        client.allocator.rng = client.holder.rng = fixed
        client.allocator.next_campaign = state.clock(n) + self.plan.promise + 100.0 * n
        return client

    def _set_needs(self, state: ModelState) -> None:
        for n, client in enumerate(state.clients):
            slots = 6 if n == state.loaded_member else 1
            client.set_needs(state.clock(n), {b.name: Need(slots) for b in self.plan.budgets})

    def _perform(self, state: ModelState, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                state.in_flight.append((self.index[action.to], action.message))
        del state.in_flight[:-MAX_IN_FLIGHT]

    def possible_events(self, state: ModelState) -> Iterator[tuple[str, int]]:
        """The events that are possible in a state, with the number of the member or message."""
        yield "time", 0
        for n, client in enumerate(state.clients):
            if client.next_at() <= state.clock(n):
                yield "tick", n
        for m in range(len(state.in_flight)):
            yield "arrives", m  # a message that never arrives is lost
        if state.crashes < self.max_crashes:
            for n in range(self.members):
                yield "ends", n
        if state.load_moves < self.max_load_moves:
            yield "load", 0

    def step(self, state: ModelState, event: str, n: int) -> None:
        """Applies an event to a state and checks the invariants."""
        if event == "time":
            state.now += STEP
        elif event == "tick":
            self._perform(state, state.clients[n].tick(state.clock(n)))
        elif event == "arrives":
            to, message = state.in_flight.pop(n)
            self._perform(state, state.clients[to].message_received(state.clock(to), message))
        elif event == "lost":
            state.in_flight.pop(n)
        elif event == "ends":
            state.crashes += 1
            state.clients[n] = self._new_client(state, n)
            self._set_needs(state)
        else:
            state.load_moves += 1
            state.loaded_member = (state.loaded_member + 1) % self.members
            self._set_needs(state)
        self.check(state)

    def check(self, state: ModelState) -> None:
        """Checks the invariants and records a violation in `violation`."""
        leaders = [
            n for n, c in enumerate(state.clients) if c.votes and c.allocator.is_leader(state.clock(n))
        ]
        if len(leaders) > 1:
            self.violation = f"members {leaders} are the allocator at the same time"
        for b in self.plan.budgets:
            total = 0
            for n, client in enumerate(state.clients):
                now_held = client.held(state.clock(n), b.name)
                history = state.held_history.setdefault((n, b.name), [])
                # Between two checks, a member holds the slots of the earlier one until they change or expire.
                # Of three or more equal entries in a row, the first and the last suffice.
                history.append((state.now, now_held))
                while len(history) > 1 and history[1][0] <= state.now - b.window:
                    history.pop(0)
                if len(history) > 2 and history[-1][1] == history[-2][1] == history[-3][1]:
                    history.pop(-2)
                total += max(held for at, held in history if at > state.now - b.window)
            if total > b.total:
                self.violation = (
                    f"{b.name}: {total} slots could be used in {b.window:.0f} ms, the total is {b.total}"
                )

    def run_in_order(self, state: ModelState, ms: float, without: tuple[int, ...] = ()) -> None:
        """Runs `ms` of true time without failures: all timers run, all messages arrive.

        The members in `without` are exempt: their timers don't run and messages to them are lost.
        """
        until = state.now + ms
        while state.now < until:
            for _ in range(12):
                for n in range(self.members):
                    if n not in without and state.clients[n].next_at() <= state.clock(n):
                        self.step(state, "tick", n)
                if not state.in_flight:
                    break
                for _ in range(len(state.in_flight)):
                    to = state.in_flight[0][0]
                    self.step(state, "lost" if to in without else "arrives", 0)
            self.step(state, "time", 0)

    def initial_states(self) -> dict[str, ModelState]:
        """States from which all orders of events are explored, by description."""
        states: dict[str, ModelState] = {}
        state = self.start()
        self.run_in_order(state, 900.0)
        states["an election begins"] = pickle.loads(pickle.dumps(state))
        self.run_in_order(state, 1_000.0)
        states["a new allocator"] = pickle.loads(pickle.dumps(state))
        self.run_in_order(state, 4_000.0)
        states["all have their leases"] = pickle.loads(pickle.dumps(state))
        self.step(state, "load", 0)
        state.load_moves = 0
        self.run_in_order(state, 250.0)
        states["the load has moved"] = pickle.loads(pickle.dumps(state))
        leaders = [n for n, c in enumerate(state.clients) if c.allocator.is_leader(state.clock(n))]
        self.run_in_order(state, 700.0, tuple(leaders))
        states["the allocator is isolated"] = state
        return states

    def explore(self, start: ModelState, max_states: int) -> tuple[int, int, str]:
        """Explores breadth-first, up to `max_states` states.

        Returns the number of states, the depth to which exploration is complete, and a violation with the
        events that lead to it (empty: none).
        """
        first = pickle.dumps(start)
        seen, queue = {hash(first)}, deque([(first, 0, ())])
        complete_depth = 0
        while queue:
            packed, depth, path = queue.popleft()
            complete_depth = depth
            events = list(self.possible_events(pickle.loads(packed)))
            for event in events:
                state = pickle.loads(packed)
                self.step(state, *event)
                if self.violation:
                    violation, self.violation = self.violation, ""
                    return len(seen), depth, f"{violation} after {(*path, event)}"
                packed_next = pickle.dumps(state)
                if hash(packed_next) not in seen:
                    seen.add(hash(packed_next))
                    if len(seen) >= max_states:
                        return len(seen), complete_depth, ""
                    queue.append((packed_next, depth + 1, (*path, event)))  # type: ignore[arg-type]
        return len(seen), complete_depth + 1, ""

    def random_walk(self, start: ModelState, seed: int, steps: int) -> str:
        """Takes random steps to reach deeper states; time passes more often than a member crashes.

        Returns a violation (empty: none).
        """
        from random import Random

        rng, state = Random(seed), pickle.loads(pickle.dumps(start))
        state.crashes = state.load_moves = -1_000
        for _ in range(steps):
            weights = {"time": 3.0, "tick": 4.0, "arrives": 6.0, "lost": 0.7, "ends": 0.03, "load": 0.15}
            events = list(self.possible_events(state)) + [("lost", m) for m in range(len(state.in_flight))]
            event = rng.choices(events, [weights[name] for name, _ in events])[0]
            self.step(state, *event)
            if self.violation:
                violation, self.violation = self.violation, ""
                return violation
        return ""
