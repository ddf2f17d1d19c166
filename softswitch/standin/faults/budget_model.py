"""A model check of the budgets: from given states, every order of what can happen next, to a stated
depth.

What can happen: time goes on, a member's timer runs (late or not at all), a message arrives or is lost or
stays on its way, a member ends and starts anew knowing nothing, the load moves. Clocks run apart as far as
the plan allows. In each state at most one member is in office, and for each budget the most that each
member held within the last window sums to no more than the whole: so no slot can have been used twice in a
window, whoever spends when.
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

STEP = 250.0  # ms of true time that go on at once
MOST_ON_WAY = 4  # messages; one more pushes out the oldest, as if it were lost


class Fixed:
    """In place of a random stream: numbers that differ, and the middle of each range."""

    def __init__(self, seed: int) -> None:
        self.next = seed << 32

    def getrandbits(self, bits: int) -> int:
        self.next += 1
        return self.next

    def uniform(self, low: float, high: float) -> float:
        return (low + high) / 2

    def randrange(self, n: int) -> int:
        return 0


@dataclass
class State:
    now: float
    clients: list[LeaseClient]
    rates: tuple[float, ...]
    on_way: list[tuple[int, Any]] = field(default_factory=list)
    hot: int = 0  # who has the load
    moves: int = 0
    crashes: int = 0
    boots: int = 0
    held: dict[tuple[int, str], list[tuple[float, int]]] = field(default_factory=dict)

    def clock(self, n: int) -> float:
        return 1e6 * (n + 1) + self.now * self.rates[n]


def plan_of(members: int, drift: float = 0.02) -> Plan:
    at = tuple(address_of(n) for n in range(members))
    two = (Budget("a", "set-ups", 6, 1, 500.0), Budget("b", "set-ups", 3, 0, 250.0))
    return Plan(two, at, at[:3], lease=1_000.0, promise=750.0, drift=drift)


class Model:
    def __init__(self, members: int, plan: Plan | None = None, crashes: int = 1, moves: int = 1) -> None:
        self.plan, self.members = plan or plan_of(members), members
        self.most_crashes, self.most_moves = crashes, moves
        self.index = {address_of(n): n for n in range(members)}
        self.broken = ""

    def start(self) -> State:
        d = self.plan.drift
        rates = tuple((1 + d, 1 - d, 1.0)[n % 3] for n in range(self.members))
        state = State(0.0, [], rates)
        for n in range(self.members):
            state.clients.append(self._made(state, n))
        self._load(state)
        return state

    def _made(self, state: State, n: int) -> LeaseClient:
        state.boots += 1
        made = LeaseClient(self.plan, address_of(n), state.boots, 1, state.clock(n))
        fixed: Any = Fixed(state.boots)
        made.allocator.rng = made.holder.rng = fixed
        made.allocator.next_campaign = state.clock(n) + self.plan.promise + 100.0 * n
        return made

    def _load(self, state: State) -> None:
        for n, client in enumerate(state.clients):
            slots = 6 if n == state.hot else 1
            client.set_needs(state.clock(n), {b.name: Need(slots) for b in self.plan.budgets})

    def _do(self, state: State, acts: list[Any]) -> None:
        for act in acts:
            if isinstance(act, SendMessage):
                state.on_way.append((self.index[act.to], act.message))
        del state.on_way[:-MOST_ON_WAY]

    def choices(self, state: State) -> Iterator[tuple[str, int]]:
        yield "time", 0
        for n, client in enumerate(state.clients):
            if client.next_at() <= state.clock(n):
                yield "tick", n
        for m in range(len(state.on_way)):
            yield "arrives", m  # one that never does is one that was lost
        if state.crashes < self.most_crashes:
            for n in range(self.members):
                yield "ends", n
        if state.moves < self.most_moves:
            yield "load", 0

    def step(self, state: State, what: str, n: int) -> None:
        if what == "time":
            state.now += STEP
        elif what == "tick":
            self._do(state, state.clients[n].tick(state.clock(n)))
        elif what == "arrives":
            to, message = state.on_way.pop(n)
            self._do(state, state.clients[to].message_received(state.clock(to), message))
        elif what == "lost":
            state.on_way.pop(n)
        elif what == "ends":
            state.crashes += 1
            state.clients[n] = self._made(state, n)
            self._load(state)
        else:
            state.moves += 1
            state.hot = (state.hot + 1) % self.members
            self._load(state)
        self.check(state)

    def check(self, state: State) -> None:
        offices = [
            n for n, k in enumerate(state.clients) if k.votes and k.allocator.is_leader(state.clock(n))
        ]
        if len(offices) > 1:
            self.broken = f"members {offices} are in office at once"
        for b in self.plan.budgets:
            total = 0
            for n, client in enumerate(state.clients):
                now_held = client.held(state.clock(n), b.name)
                past = state.held.setdefault((n, b.name), [])
                # Between two looks it held what it did at the first, until it changed or lapsed.
                past.append((state.now, now_held))
                while len(past) > 1 and past[1][0] <= state.now - b.window:
                    past.pop(0)
                if len(past) > 2 and past[-1][1] == past[-2][1] == past[-3][1]:
                    past.pop(-2)
                total += max(held for at, held in past if at > state.now - b.window)
            if total > b.total:
                self.broken = (
                    f"{b.name}: {total} slots could be used in {b.window:.0f} ms, the whole is {b.total}"
                )

    def calm(self, state: State, ms: float, without: tuple[int, ...] = ()) -> None:
        """Plays on in good order: all timers run, all messages arrive, but for those of some members."""
        until = state.now + ms
        while state.now < until:
            for _ in range(12):
                for n in range(self.members):
                    if n not in without and state.clients[n].next_at() <= state.clock(n):
                        self.step(state, "tick", n)
                if not state.on_way:
                    break
                for _ in range(len(state.on_way)):
                    to = state.on_way[0][0]
                    self.step(state, "lost" if to in without else "arrives", 0)
            self.step(state, "time", 0)

    def initial_states(self) -> dict[str, State]:
        """States from which all orders are explored."""
        made: dict[str, State] = {}
        state = self.start()
        self.calm(state, 900.0)
        made["an election begins"] = pickle.loads(pickle.dumps(state))
        self.calm(state, 1_000.0)
        made["a new office"] = pickle.loads(pickle.dumps(state))
        self.calm(state, 4_000.0)
        made["all have their parts"] = pickle.loads(pickle.dumps(state))
        self.step(state, "load", 0)
        state.moves = 0
        self.calm(state, 250.0)
        made["the load has moved"] = pickle.loads(pickle.dumps(state))
        first = [n for n, k in enumerate(state.clients) if k.allocator.is_leader(state.clock(n))]
        self.calm(state, 700.0, tuple(first))
        made["the allocator is cut off"] = state
        return made

    def explore(self, start: State, most: int) -> tuple[int, int, str]:
        """States seen, the depth to which all were seen, and what broke (with the way there), if anything."""
        first = pickle.dumps(start)
        seen, queue = {hash(first)}, deque([(first, 0, ())])
        whole_depth = 0
        while queue:
            packed, depth, way = queue.popleft()
            whole_depth = depth
            choices = list(self.choices(pickle.loads(packed)))
            for choice in choices:
                state = pickle.loads(packed)
                self.step(state, *choice)
                if self.broken:
                    broken, self.broken = self.broken, ""
                    return len(seen), depth, f"{broken} after {(*way, choice)}"
                made = pickle.dumps(state)
                if hash(made) not in seen:
                    seen.add(hash(made))
                    if len(seen) >= most:
                        return len(seen), whole_depth, ""
                    queue.append((made, depth + 1, (*way, choice)))  # type: ignore[arg-type]
        return len(seen), whole_depth + 1, ""

    def random_walk(self, start: State, seed: int, steps: int) -> str:
        """One long way drawn at random, for what lies deeper; time goes on more often than anything ends."""
        from random import Random

        rng, state = Random(seed), pickle.loads(pickle.dumps(start))
        state.crashes = state.moves = -1_000
        for _ in range(steps):
            weights = {"time": 3.0, "tick": 4.0, "arrives": 6.0, "lost": 0.7, "ends": 0.03, "load": 0.15}
            choices = list(self.choices(state)) + [("lost", m) for m in range(len(state.on_way))]
            choice = rng.choices(choices, [weights[what] for what, _ in choices])[0]
            self.step(state, *choice)
            if self.broken:
                broken, self.broken = self.broken, ""
                return broken
        return ""
