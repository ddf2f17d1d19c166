"""The allocator's office: how it is won and kept, who holds what by its books, and what may be granted.

At most one process is in office at any instant of true time: it needs the promises of a majority of the
voters, counts on each for less than the voter keeps it, and asks its clock before each grant. A part counts
in the books until the holder has said that it holds another one instead, or can't hold it any more by any
clock within the bound on drift; then its slots rest once more for as long as one can have been used before.

The books of the office before are not read: nothing new is granted until all that it granted has lapsed. What
a holder still holds from it is renewed meanwhile, if the holder says so after having heard of this office:
the office before ended first, so it can't have given that to somebody else.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt
from random import Random

from softswitch.budgets.division import divided
from softswitch.budgets.messages import (
    NOBODY,
    Ask,
    Denied,
    Grant,
    Id,
    Message,
    Office,
    Promised,
    See,
    Waive,
    Want,
)
from softswitch.budgets.plan import SHARED, Budget, Plan, lowest

BITS = 62
MOST_HOLDERS = 20_000
DIVIDE = 200.0  # ms between two divisions
# What moves rests unused for a window. So a part that would change by no more than STEADY of it stays; by
# more than that, up to LARGE, only if it would all through a window; by more than LARGE at once.
STEADY, LARGE = 1 / 8, 1 / 2
SPARE = 15 / 16  # of what nobody needs, given out as headroom; the rest waits for newcomers
ANSWER = 400.0  # ms that voters have to answer a candidate
SOON = 350.0  # ms after which a holder that has less than its target asks again
ROUNDS = 4  # rounds of promises that may still be answered
KEPT_DEBTS = 64  # grants of one holder that may still be out


@dataclass(slots=True)
class Debt:
    """A grant that its holder may hold."""

    id: Id
    parts: dict[str, int]
    until: float


@dataclass(slots=True)
class Account:
    """What one life of one holder may hold, and what it says that it needs."""

    address: str
    heard: float
    seq: int = 0
    debts: list[Debt] = field(default_factory=list)
    out: dict[str, int] = field(default_factory=dict)  # by budget, the most of all debts
    need: dict[str, int] = field(default_factory=dict)  # beyond its floor
    weight: dict[str, float] = field(default_factory=dict)
    told: dict[str, tuple[int, int]] = field(default_factory=dict)  # whole and floor by its own file
    target: dict[str, int] = field(default_factory=dict)
    off: dict[str, float] = field(default_factory=dict)  # since when a target is off by more than STEADY
    gone: bool = False  # it gave all back


class Books:
    """Owner of what is out, and of what rests. For one office."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan, self.began = plan, now
        self.accounts: dict[tuple[str, int], Account] = {}
        self.out = {b.name: 0 for b in plan.budgets}
        self.resting = {b.name: 0 for b in plan.budgets}
        self.rests: dict[str, deque[tuple[float, int]]] = {b.name: deque() for b in plan.budgets}
        self.bound = lowest(plan, ())
        self.next_division = now
        self.turned_away = 0

    def settled(self, now: float, name: str) -> bool:
        """Whether all that the office before granted is over, and was last used long enough ago."""
        budget = self.plan.by_name[name]
        return now >= self.began + self.plan.owed + self.plan.rests(budget)

    def leasable(self, name: str) -> int:
        whole, floor = self.bound[name]
        return max(0, whole - floor * len(set(self.plan.members)))

    def free(self, now: float, name: str) -> int:
        """May be below 0, after a whole was lowered."""
        rests = self.rests[name]
        while rests and now >= rests[0][0]:
            self.resting[name] -= rests.popleft()[1]
        return self.leasable(name) - self.out[name] - self.resting[name]

    def _weigh(self, now: float, account: Account) -> None:
        """The books after some debts of an account were dropped or one came."""
        for b in self.plan.budgets:
            out = max((d.parts.get(b.name, 0) for d in account.debts), default=0)
            before = account.out.get(b.name, 0)
            if out < before:
                self.rests[b.name].append((now + self.plan.rests(b), before - out))
                self.resting[b.name] += before - out
            if out != before:
                self.out[b.name] += out - before
                account.out[b.name] = out

    def sweep(self, now: float) -> None:
        """What has lapsed goes; who was not heard of for a whole lease and has nothing out is forgotten."""
        for key, account in list(self.accounts.items()):
            if any(now >= d.until for d in account.debts):
                account.debts = [d for d in account.debts if now < d.until]
                self._weigh(now, account)
            if not account.debts and now - account.heard > self.plan.owed:
                del self.accounts[key]

    def heard(self, now: float, want: Want, number: int) -> Account | None:
        """`number` is the office's. None: no room for one more."""
        key = (want.address, want.boot)
        account = self.accounts.get(key)
        if account is None:
            if len(self.accounts) >= MOST_HOLDERS:
                self.turned_away += 1
                return None
            account = self.accounts[key] = Account(want.address, now)
            self.next_division = min(self.next_division, now)
        before = len(account.debts)
        if want.basis[0] == number:
            # Grants before the one that it holds name another basis than it: it can't take them any more.
            account.debts = [d for d in account.debts if d.id[1] >= want.basis[1]]
        account.debts = [d for d in account.debts if now < d.until]
        if want.back:
            account.debts, account.gone = [], True
        if len(account.debts) != before:
            self._weigh(now, account)
        if want.seq > account.seq:
            account.seq, account.heard = want.seq, now
            for line in want.lines:
                if line.name in self.plan.by_name:
                    floor = self.plan.floor_of(line.name, want.address)
                    account.need[line.name] = max(0, line.need - floor)
                    account.weight[line.name] = line.worth
                    account.told[line.name] = (line.whole, line.floor)
        return account

    def owe(self, now: float, account: Account, id: Id, parts: dict[str, int]) -> None:
        account.debts.append(Debt(id, parts, now + self.plan.owed))
        self._weigh(now, account)

    def divide(self, now: float) -> None:
        """Targets for all that are here, anew."""
        self.next_division = now + DIVIDE
        self.sweep(now)
        latest: dict[str, Account] = {}
        for account in self.accounts.values():  # of two lives of one member the one heard last counts
            if account.address not in latest or account.heard >= latest[account.address].heard:
                latest[account.address] = account
        for account in self.accounts.values():
            if latest[account.address] is not account or account.gone:
                account.target = {}
        here = [a for a in latest.values() if not a.gone and now - a.heard <= self.plan.owed]
        self.bound = lowest(self.plan, (a.told for a in here))
        for b in self.plan.budgets:
            whole = self.leasable(b.name)
            needs = [a.need.get(b.name, 0) for a in here]
            weights = [a.weight.get(b.name, 1.0) for a in here]
            parts = divided(whole, needs, weights)
            spare = whole - sum(parts)
            short = sum(needs) > whole
            if b.what not in SHARED and not short and here:
                # Headroom by the root of the need: so much does what comes by itself vary.
                roots = [sqrt(n + 1) for n in needs]
                each = spare * SPARE / sum(roots)
                parts = [p + int(each * root) for p, root in zip(parts, roots, strict=True)]
            steady = [self._steady(now, b, a, p) for a, p in zip(here, parts, strict=True)]
            if sum(steady) <= whole:
                # What stays as it is may leave something over: it goes to those who still need more.
                lacking = [max(0, n - p) for p, n in zip(steady, needs, strict=True)]
                more = divided(whole - sum(steady), lacking, weights)
                parts = [p + m for p, m in zip(steady, more, strict=True)]
            for account, part in zip(here, parts, strict=True):
                account.target[b.name] = part

    def _steady(self, now: float, budget: Budget, account: Account, part: int) -> int:
        """The part, or what is out already where the difference is not worth the move, or not yet."""
        out = account.out.get(budget.name, 0)
        if not out or abs(part - out) <= max(1, out * STEADY):
            account.off.pop(budget.name, None)
            return out or part
        since = account.off.setdefault(budget.name, now)
        return part if abs(part - out) > max(2, out * LARGE) or now - since >= budget.over else out


class Candidate:
    """This voter's way into the office, and in it. Owner of the promises that it was given."""

    def __init__(self, plan: Plan, me: str, voters: int, rng: Random, now: float) -> None:
        self.plan, self.me, self.voters, self.rng = plan, me, voters, rng
        self.rank = plan.voters.index(me) if me in plan.voters else 0
        self.term = 0  # the highest heard of
        self.asking: Office = NOBODY  # what promises are asked for
        self.office: Office = NOBODY  # what grants are given under; its number is drawn as it is taken
        self.round = 0
        self.rounds: dict[int, tuple[float, set[str]]] = {}
        self.until = now  # the office is held until then, by this process's clock
        self.gives_up = now
        self.next_try = now + plan.promise + self._pause()
        self.next_round = now
        self.books = Books(plan, now)
        self.number = 0  # of the last grant
        self.granted = self.offices = 0
        self.denied = ""

    def _pause(self) -> float:
        """Those who come first in the list try first, so that candidates seldom meet."""
        return 100.0 * self.rank + self.rng.uniform(0.0, 150.0)

    def holds(self, now: float) -> bool:
        return self.office != NOBODY and now < self.until

    def next_at(self) -> float:
        if self.asking == NOBODY:
            return self.next_try
        return min(self.next_round, self.gives_up if self.office == NOBODY else self.books.next_division)

    def tick(self, now: float, promised: str) -> list[Message]:
        """`promised`: to whom the own voter has promised itself. What comes back goes to all voters."""
        if self.office != NOBODY and now >= self.until:
            self.office = self.asking = NOBODY  # lost; nothing of its books counts any more
            self.next_try = now + self._pause()
        if self.asking == NOBODY:
            if now < self.next_try:
                return []
            self.next_try = now + 100.0 + self._pause()
            if promised not in ("", self.me):
                return []
            self.term += 1
            self.asking = (self.term, self.rng.getrandbits(BITS))
            self.rounds, self.gives_up = {}, now + ANSWER
            return [self._ask(now)]
        if self.office == NOBODY and now >= self.gives_up:
            given_up, self.asking = self.asking, NOBODY
            self.next_try = now + self._pause() * self.rng.uniform(1.0, 4.0)
            return [Waive(given_up)]
        if self.office != NOBODY and now >= self.books.next_division:
            self.books.divide(now)
        return [self._ask(now)] if now >= self.next_round else []

    def _ask(self, now: float) -> Ask:
        self.round += 1
        self.rounds[self.round] = (now, set())
        while len(self.rounds) > ROUNDS:
            del self.rounds[min(self.rounds)]
        self.next_round = now + (ANSWER / 2 if self.office == NOBODY else self.plan.promise / 4)
        return Ask(self.me, self.asking, self.round, self.voters)

    def promised(self, now: float, said: Promised) -> bool:
        """True: the office is taken by this."""
        found = self.rounds.get(said.round)
        if said.office != self.asking or self.asking == NOBODY or found is None:
            return False
        if said.voter not in self.plan.voters:
            return False
        sent, by = found
        by.add(said.voter)
        if len(by) < self.plan.majority:
            return False
        until = sent + self.plan.office
        if self.office == NOBODY:
            if now >= until:
                return False
            # Of this number nobody can have heard before now: an echo of it was sent after the office began.
            self.office = (self.asking[0], self.rng.getrandbits(BITS))
            self.until, self.number, self.books = until, 0, Books(self.plan, now)
            self.offices += 1
            return True
        self.until = max(self.until, until) if now < self.until else self.until
        return False

    def refused(self, said: Denied) -> None:
        self.term = max(self.term, said.term)
        self.denied = f"{said.voter}: {said.why}"

    def wanted(self, now: float, want: Want) -> Grant | See | None:
        """The allocator's answer; to be asked only while it `holds` the office."""
        books = self.books
        account = books.heard(now, want, self.office[1])
        if account is None or want.back or len(account.debts) >= KEPT_DEBTS:
            return None  # with so many still out it has to wait: none of them may be left out of the books
        echoes = want.office == self.office
        if not echoes and want.basis[0] != self.office[1]:
            return See(self.office, self.me)  # it asks again, knowing of this office
        if now >= books.next_division:
            books.divide(now)
        parts: dict[str, int] = {}
        for line in want.lines:
            if line.name not in self.plan.by_name:
                continue
            if books.settled(now, line.name):
                out = account.out.get(line.name, 0)
                most = out + max(0, books.free(now, line.name))
                parts[line.name] = min(account.target.get(line.name, 0), most)
            elif echoes:
                parts[line.name] = line.held
            else:
                return See(self.office, self.me)
        self.number += 1
        self.granted += 1
        id = (self.office[1], self.number)
        books.owe(now, account, id, parts)
        short = any(part < account.target.get(name, 0) for name, part in parts.items())
        return Grant(
            want.boot,
            want.seq,
            self.office,
            self.me,
            id,
            want.basis,
            tuple(parts.items()),
            self.plan.lease,
            min(SOON, self.plan.renew) if short else self.plan.renew,
        )
