"""One member of the fleet: finds failures, spreads news, agrees with the others. Events in, actions out.

The rules of SWIM (direct and indirect probes in shuffled rounds, suspicion, incarnations), with Lifeguard's
three remedies (probe times by one's own health, suspicions that shorten with each member that shares them,
the accused told first), and exchanges of whole tables by digest as in Scuttlebutt. docs/design/fleet-view.md
says why.

Two things are its own. A process that was stopped or starved gives every wait that ran meanwhile its time
again, and accuses nobody before it was heard. And a process that does not see a majority says 'I am cut off':
it keeps the others as suspects and calls none of them gone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain, repeat
from math import log10
from random import Random

import msgspec

from softswitch.fleet.member_table import MemberTable
from softswitch.fleet.messages import (
    ENDED,
    FORMAT,
    Ack,
    CompareDigests,
    Datagram,
    DifferingRecords,
    Header,
    Message,
    Nack,
    Ping,
    PingRequest,
    Record,
    Rejected,
    RemainingRecords,
    State,
    Stream,
    Updates,
)

HELPERS = 3  # members asked to probe for us
DEAF = 6.0  # periods in which nobody at all is heard, after which a process counts as cut off itself
WORST = 8  # the most that one's own bad health stretches times by
PIGGYBACK = 8  # records on the back of a probe: they and the head fit a datagram of 1,400 bytes
RECENT, UNWELL = 4, 4  # own probes, and own health, by which it doubts its own view
ASKERS = 20  # members, on average, that ask one who is suspected at half of the time
BACKLOG = 4 * PIGGYBACK  # news waiting to be passed on, from which on an exchange is shorter
CONFIRMATIONS = 3  # others that share a suspicion, from which on it lasts its least time
COUNTED = ("probes", "indirect", "accused", "refuted", "exchanges", "standstills", "gone", "garbage")
MOST_HELPED = 64  # probes under way for others


@dataclass(frozen=True, slots=True)
class Periods:
    """Times in ms; all follow from the period of probes."""

    period: float = 500.0  # between two probes
    answer: float = 200.0  # for a direct answer
    suspicion: float = 3.0  # periods that a suspicion lasts at least, times log10 of the fleet but 1 at least
    longest: float = 3.0  # times as long it lasts at the most, with nobody sharing it
    exchange: float = 5_000.0  # between two exchanges of tables with nothing to say that they differ
    retry: float = 1_000.0  # between two tries to reach a member that is gone, and seeds while joining


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to this address."""

    to: str
    message: Datagram


@dataclass(frozen=True, slots=True)
class Exchange:
    """An exchange over the second path: `said` goes out, and what comes back is given to `heard_back`."""

    to: str
    request: CompareDigests


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """What is known of a member changed. `was` is None for a new one."""

    record: Record
    previous_state: State | None


@dataclass(frozen=True, slots=True)
class Notice:
    """For operators: `what` is one of 'accused', 'cut off', 'sees a majority', 'name taken', 'refused'."""

    event: str
    details: str


Action = Send | Exchange | MemberChanged | Notice


@dataclass(slots=True)
class Probe:
    """The probe under way."""

    key: str
    seq: int
    direct_by: float
    ends: float
    asked: bool = False
    nacks: int = 0
    helpers: int = 0


@dataclass(slots=True)
class Suspicion:
    """A member that is suspected to have failed. Times in ms of this process's clock."""

    incarnation: int
    began: float
    least: float
    longest: float
    sharers: set[str]  # other members whose own probes failed too
    held: float = 0.0  # not over before this time
    asked: int = 0  # times that the accused was asked because of it

    def asks_at(self) -> float:
        """When the accused is asked next: at half of the time, and once more before it is called gone."""
        return self.began + (self.ends - self.began) / 2 if self.asked == 0 else self.ends

    @property
    def ends(self) -> float:
        """When it is declared dead: the sooner, the more other members' probes have failed too."""
        share = min(1.0, log10(len(self.sharers) + 1) / log10(CONFIRMATIONS + 1))
        return max(self.held, self.began + self.longest - share * (self.longest - self.least))


@dataclass(slots=True)
class Helped:
    """A probe for another member."""

    asker: str  # its address
    seq: int
    nack_at: float
    ends: float


class Member:
    """This process's part in the fleet."""

    def __init__(
        self, fleet: str, me: Record, seeds: Iterable[str], periods: Periods, seed: int, now: float
    ) -> None:
        self.fleet, self.periods, self.rng = fleet, periods, Random(seed)
        self.me = msgspec.structs.replace(me, state=State.JOINING)
        self.seeds = [s for s in seeds if s != me.address]
        self.table = MemberTable()
        self.table.put(now, self.me)
        self.actions: list[Action] = []
        self.health = 0  # 0: well; raised by what makes one doubt one's own view
        self.next_tick_due, self.began = now, now  # expected: when the next tick was due
        self.next_early = now  # an exchange for digests that differ, not before
        self.recent: deque[bool] = deque(maxlen=RECENT)  # whether the last probes were answered
        self.accuses: dict[str, None] = {}  # suspects that own probes did not reach
        self.counted: tuple[int, int, int] = (-1, 0, 0)  # digest of the table; names there, and the whole
        self.next_probe, self.next_exchange, self.next_retry = now, now, now
        self.probe: Probe | None = None
        self.round: list[str] = []
        self.seq = self.rng.getrandbits(32)
        self.suspicions: dict[str, Suspicion] = {}
        self.helped: dict[int, Helped] = {}
        self.heard_at = now  # when anyone was last heard
        self.leaving = False
        self.cut_off = False
        self.taken: dict[str, None] = {}  # keys of others that claim this name; each told once
        self.refusals: dict[str, int] = {}
        self.counts = dict.fromkeys(COUNTED, 0)

    # what goes out

    def _header(self) -> Header:
        return Header(self.fleet, FORMAT, self.me, self.table.digest, tuple(self.accuses)[:4])

    def _take_actions(self) -> list[Action]:
        acts, self.actions = self.actions, []
        return acts

    def _updates_for(self, about: str = "") -> tuple[Record, ...]:
        """On the back of a probe. One who is accused is told so first: nobody else can take it back."""
        record = self.table.records.get(about)
        accused = record is not None and record.state in (State.SUSPECT, State.GONE)
        return self.table.next_updates(PIGGYBACK, (about,) if accused else ())

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) % (1 << 40)
        return self.seq

    # time

    def next_at(self) -> float:
        """When `tick` is to be called next, at the latest."""
        due = [self.next_probe, self.next_exchange, self.next_retry]
        if self.probe is not None:
            due.append(self.probe.ends if self.probe.asked else self.probe.direct_by)
        due += [min(s.ends, s.asks_at()) for s in self.suspicions.values()]
        due += [h.nack_at for h in self.helped.values()]
        return min(due)

    def tick(self, now: float) -> list[Action]:
        """Time went on. To be called at `next_at`, and at least once a period."""
        if now - self.next_tick_due > self.periods.answer / 2:
            self._compensate_for_stall(now - self.next_tick_due)
        for seq in [seq for seq, h in self.helped.items() if now >= h.nack_at]:
            helped = self.helped[seq]
            if helped.nack_at < helped.ends:
                self.actions.append(Send(helped.asker, Nack(self._header(), helped.seq)))
                helped.nack_at = helped.ends
            else:
                del self.helped[seq]
        self._probe(now)
        self._check_majority(now)
        for key, s in list(self.suspicions.items()):
            if s.asked == 0 and now >= s.asks_at():
                s.asked = 1
                # Of a large fleet some ask, so that what all of them send to one stays bounded.
                if self.rng.random() * self.table.count_present() < ASKERS:
                    self._ping(key, self._next_seq())
            if now >= s.ends:
                self._suspicion_expired(now, key)
        if now >= self.next_exchange and not self.leaving:
            self.next_exchange = now + self.periods.exchange * self.rng.uniform(0.8, 1.2)
            others = self._others((State.ALIVE, State.JOINING))
            if others:
                self._exchange(self.table.records[self.rng.choice(others)].address)
            self.table.remove_expired(now)
        if now >= self.next_retry and not self.leaving:
            self.next_retry = now + self.periods.retry * self.rng.uniform(0.8, 1.2)
            self._retry(now)
        self.next_tick_due = max(now, self.next_at())
        return self._take_actions()

    def _compensate_for_stall(self, gap: float) -> None:
        """This process was stopped or starved. What it waited for meanwhile may have come and lies unread:
        every wait gets its time again, and its own health is in doubt.
        """
        self.counts["standstills"] += 1
        self.health = min(WORST, self.health + 1)
        self.probe = None
        self.next_probe += gap
        self.heard_at += gap
        for s in self.suspicions.values():
            s.began, s.held = s.began + gap, s.held + gap
        for h in self.helped.values():
            h.nack_at, h.ends = h.nack_at + gap, h.ends + gap

    def _stretch(self) -> float:
        return 1.0 + self.health

    # probes

    def _others(self, states: Iterable[State]) -> list[str]:
        return [key for key, r in self.table.records.items() if r.state in states and key != self.me.key]

    def _probe(self, now: float) -> None:
        p = self.probe
        if p is not None and not p.asked and now >= p.direct_by:
            p.asked = True
            able = [k for k in self._others((State.ALIVE,)) if k != p.key]
            helpers = self.rng.sample(able, min(HELPERS, len(able)))
            target = self.table.records.get(p.key)
            p.helpers = len(helpers)
            if target is not None:
                for key in helpers:
                    self.counts["indirect"] += 1
                    self.actions.append(
                        Send(
                            self.table.records[key].address,
                            PingRequest(self._header(), p.seq, p.key, target.address, self._updates_for(key)),
                        )
                    )
        if p is not None and now >= p.ends:
            self.probe = None
            if not self._is_suspect(p.key):  # no news of a suspect: it says nothing of this process's health
                self._probe_failed(p)
            self._accuse(now, p.key)
        if now >= self.next_probe and self.probe is None and not self.leaving:
            target_key = self._next_target()
            self.next_probe = now + self.periods.period * self._stretch()
            if target_key is None:
                return
            answer = self.periods.answer * self._stretch()
            ends = max(self.next_probe, now + 3 * answer)
            self.probe = Probe(target_key, self._next_seq(), now + answer, ends)
            self.counts["probes"] += 1
            self._ping(target_key, self.probe.seq)

    def _probe_failed(self, probe: Probe) -> None:
        """Helpers that are there and heard nothing have said so; those that said nothing make one doubt
        oneself.
        """
        self.recent.append(False)
        missed = probe.helpers - probe.nacks
        self.health = min(WORST, self.health + (missed if probe.helpers else 1))

    def _is_suspect(self, key: str) -> bool:
        record = self.table.records.get(key)
        return record is not None and record.state is State.SUSPECT

    def _next_target(self) -> str | None:
        """Each of the others once a round, in an order drawn anew for each: so the time until a failure is
        seen by someone is bounded, whatever the dice.
        """
        for fresh in (False, True):
            if fresh:
                self.round = self._others((State.JOINING, State.ALIVE, State.SUSPECT))
                self.rng.shuffle(self.round)
            while self.round:
                key = self.round.pop()
                record = self.table.records.get(key)
                if record is not None and record.state not in ENDED:
                    return key
        return None

    def _ping(self, key: str, seq: int) -> None:
        record = self.table.records[key]
        self.actions.append(Send(record.address, Ping(self._header(), seq, key, self._updates_for(key))))

    def _accuse(self, now: float, key: str) -> None:
        record = self.table.records.get(key)
        if record is None or record.state in ENDED:
            return
        if now - self.heard_at > 2 * self.periods.period * self._stretch() and self.table.count_present() > 2:
            return  # nobody at all was heard: it is rather this process that hears nothing
        self.counts["accused"] += 1
        self.accuses[key] = None
        self._merge(now, (msgspec.structs.replace(record, state=State.SUSPECT),))
        self.actions.append(Send(record.address, Updates(self._header(), (self.table.records[key],))))

    def _suspect(self, now: float, record: Record) -> None:
        found = self.suspicions.get(record.key)
        if found is not None and found.incarnation == record.incarnation:
            return
        n = max(1.0, log10(max(1, self.table.count_present())))
        least = self.periods.suspicion * n * self.periods.period
        longest = self.periods.longest * least
        self.suspicions[record.key] = Suspicion(record.incarnation, now, least, longest, set())

    def _suspicion_expired(self, now: float, key: str) -> None:
        record, suspicion = self.table.records.get(key), self.suspicions[key]
        if record is None or record.state is not State.SUSPECT or record.incarnation != suspicion.incarnation:
            del self.suspicions[key]
        elif self.cut_off or self._in_doubt(now):
            # It may be this process that is away: they stay suspects, and are asked on.
            suspicion.held = now + self.periods.period
        elif suspicion.asked < 2:
            suspicion.asked, suspicion.held = 2, now + 2 * self.periods.answer
            self._ping(key, self._next_seq())
        else:
            del self.suspicions[key]
            self.counts["gone"] += 1
            self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))

    def _in_doubt(self, now: float) -> bool:
        """Whether it may be this process that is away, although the table does not say so yet: nobody was
        heard lately, half of its last probes found nobody, or those asked for help were silent too.
        """
        silent = now - self.heard_at > 2 * self.periods.period * self._stretch()
        failed = self.recent.count(False)
        return silent or self.health >= UNWELL or (failed > 0 and 2 * failed >= len(self.recent))

    def _check_majority(self, now: float) -> None:
        """Of all members that did not leave, more than half are there, this one among them. The gone ones
        count as long as they are remembered: else a minority would shrink the whole until it is a majority of
        it.
        """
        if self.counted[0] != self.table.digest:
            there, lost = set(), set()
            for r in self.table.records.values():
                if r.state in (State.JOINING, State.ALIVE):
                    there.add(r.name)
                elif r.state is not State.LEFT:
                    lost.add(r.name)  # unless it is at another address by now
            self.counted = (self.table.digest, len(there), len(there | lost))
        _, n, whole = self.counted
        silent = now - self.heard_at > DEAF * self.periods.period
        # As many as half and no more: a fleet of two that loses one, or is cut in halves.
        cut_off = whole > 1 and (2 * n <= whole or silent)
        if cut_off != self.cut_off:
            self.cut_off = cut_off
            why = f"{n} of {whole} are there" + ", nobody is heard" * silent
            self.actions.append(Notice("cut off" if cut_off else "sees a majority", why))
            for s in self.suspicions.values():  # who is heard again has its time to say so
                s.began, s.held, s.asked = now, 0.0, 0
                s.sharers.clear()

    # exchanges

    def _exchange(self, address: str) -> None:
        self.counts["exchanges"] += 1
        self.actions.append(Exchange(address, CompareDigests(self._header(), tuple(self.table.buckets))))

    def _retry(self, now: float) -> None:
        """Those that are gone may be cut off, and then only this brings the two parts together again. Seeds
        are asked too: a fleet whose processes all started anew knows nobody else.
        """
        known = {r.address for r in self.table.records.values() if r.state not in ENDED}
        lost = [self.table.records[k].address for k in self._others((State.GONE,))]
        lost += [s for s in self.seeds if s not in known and s not in lost]
        suspects = [self.table.records[k].address for k in self._others((State.SUSPECT,))]
        if self.cut_off and suspects:
            self._exchange(self.rng.choice(suspects))
        if self.me.state is State.JOINING:
            self.next_retry = now + self.periods.period
            for address in self.seeds:
                self._exchange(address)
            if not self.seeds or now - self.began > 4 * self.periods.retry:
                self._joined(now)  # alone for now: the seeds are asked on
        elif lost:
            for address in self.rng.sample(lost, min(HELPERS, len(lost))):
                self._exchange(address)

    def _joined(self, now: float) -> None:
        if self.me.state is State.JOINING:
            self._update_own_record(now, state=State.ALIVE)

    # what comes in

    def _welcome(self, now: float, header: Header) -> str:
        """Empty if the sender is of this fleet; else why it is not listened to."""
        if header.format != FORMAT:
            return f"format {header.format} of messages, {FORMAT} is spoken here"
        if header.fleet != self.fleet:
            return f"fleet {header.fleet!r}, this one is {self.fleet!r}"
        if header.sender.key == self.me.key:
            return f"name and address of {self.me.key}, which is this process"
        return ""

    def _refuse(self, reason: str, who: str) -> Rejected:
        if len(self.refusals) < 64 or reason in self.refusals:
            self.refusals[reason] = self.refusals.get(reason, 0) + 1
            if self.refusals[reason] == 1:
                self.actions.append(Notice("refused", f"{who}: {reason}"))
        return Rejected(reason)

    def datagram_received(self, now: float, message: Message) -> list[Action]:
        """A datagram came."""
        if isinstance(message, Rejected):
            self._refuse(f"turned away there: {message.reason}", "a peer")
            return self._take_actions()
        if isinstance(message, CompareDigests | DifferingRecords | RemainingRecords):
            self.counts["garbage"] += 1
            return self._take_actions()
        header = message.header
        if header.sender.key == self.me.key:  # what this name and address said in a life before
            self.counts["garbage"] += 1
            return self._take_actions()
        if why := self._welcome(now, header):
            refusal = self._refuse(why, header.sender.key)
            if not isinstance(message, Nack | Updates):
                self.actions.append(Send(header.sender.address, refusal))
            return self._take_actions()
        self.heard_at = now
        self._merge(now, (header.sender, *getattr(message, "updates", ())))
        for key in header.accuses:
            if key in self.suspicions:
                self.suspicions[key].sharers.add(header.sender.key)
        sender = header.sender.address
        if isinstance(message, Ping):
            if message.to == self.me.key:
                self.actions.append(
                    Send(sender, Ack(self._header(), message.seq, self._updates_for(header.sender.key)))
                )
        elif isinstance(message, Ack):
            self._ack_received(now, message)
        elif isinstance(message, Nack):
            if self.probe is not None and self.probe.seq == message.seq:
                self.probe.nacks += 1
        elif isinstance(message, PingRequest):
            if len(self.helped) < MOST_HELPED and message.to != self.me.key:
                seq = self._next_seq()
                wait = self.periods.answer * 0.8
                self.helped[seq] = Helped(sender, message.seq, now + wait, now + 2 * self.periods.period)
                ping = Ping(self._header(), seq, message.to, self._updates_for(message.to))
                self.actions.append(Send(message.address, ping))
        if (
            header.digest != self.table.digest
            and not 0 < len(self.table.pending) <= BACKLOG
            and isinstance(message, Ack)
            and now >= self.next_early
            and not self.leaving
        ):
            # Nothing is left to spread, and still the two differ: something was lost on the way. Or so much
            # is left that an exchange is shorter: many joined at once.
            self.next_early = now + 2 * self.periods.period
            self._exchange(sender)
        return self._take_actions()

    def _ack_received(self, now: float, message: Ack) -> None:
        p = self.probe
        if p is not None and p.seq == message.seq:
            self.probe = None
            self.recent.append(True)
            self.health = max(0, self.health - 1)
            self.accuses.pop(p.key, None)
            return
        helped = self.helped.pop(message.seq, None)
        if helped is not None:
            # Passed on in the name of who answered, so that its own word comes with it.
            self.actions.append(Send(helped.asker, Ack(self._header(), helped.seq, (message.header.sender,))))

    def exchange_message_received(self, now: float, message: Stream) -> tuple[Stream | None, list[Action]]:
        """Something came on the second path: what is answered there, and what else is done."""
        if isinstance(message, Rejected):
            self._refuse(f"turned away there: {message.reason}", "a peer")
            return None, self._take_actions()
        if why := self._welcome(now, message.header):
            return self._refuse(why, message.header.sender.key), self._take_actions()
        self.heard_at = now
        if isinstance(message, CompareDigests):
            self._merge(now, (message.header.sender,))
            differ = self.table.differing_buckets(message.buckets)
            there = self.table.records_in(differ)
            return DifferingRecords(
                self._header(), differ, there, self.table.seconds_since_end(now, there)
            ), self._take_actions()
        if isinstance(message, DifferingRecords):
            there = self.table.records_in(message.buckets)  # as it was before: no news to them else
            rest = RemainingRecords(self._header(), there, self.table.seconds_since_end(now, there))
            self._merge(now, (message.header.sender, *message.records), (0, *message.ages))
            self._joined(now)
            return rest, self._take_actions()
        self._merge(now, (message.header.sender, *message.records), (0, *message.ages))
        return None, self._take_actions()

    # what holds

    def _merge(self, now: float, records: Iterable[Record], ages: Iterable[int] = ()) -> None:
        """`ages`: seconds since each came to its end; what has none came to it now."""
        for record, age in zip(records, chain(ages, repeat(0)), strict=False):
            if record.key == self.me.key:
                self._refute(now, record)
                continue
            new = record.key not in self.table.records
            old = self.table.put(now, record, 1000.0 * age)
            if old is None and not (new and record.key in self.table.records):
                continue
            if record.state is State.SUSPECT:
                self._suspect(now, record)
            else:
                self.suspicions.pop(record.key, None)
                self.accuses.pop(record.key, None)
            self._conflict(record)
            if old is None or old.state is not record.state or old.boot != record.boot:
                self.actions.append(MemberChanged(record, None if old is None else old.state))

    def _refute(self, now: float, record: Record) -> None:
        """What others say of this process. It alone knows better: a restart that forgot, a clock set back, an
        accusation, an end that was told of the life before, all are overruled by a higher incarnation.
        """
        if record.boot == self.me.boot and record.rank <= self.me.rank:
            return
        if self.leaving and record.state in ENDED and record.incarnation >= self.me.incarnation:
            return
        if record.incarnation < self.me.incarnation:
            return
        if record.boot == self.me.boot and record.state is State.SUSPECT:
            self.health = min(WORST, self.health + 1)
        self.counts["refuted"] += 1
        self._update_own_record(now, incarnation=record.incarnation + 1)
        if not self.leaving:  # at once: on the back of the next probes alone it may come too late
            able = self._others((State.ALIVE,))
            for key in self.rng.sample(able, min(HELPERS, len(able))):
                self.actions.append(
                    Send(self.table.records[key].address, Updates(self._header(), (self.me,)))
                )
        if record.state in (State.SUSPECT, State.GONE) and record.boot == self.me.boot:
            self.actions.append(
                Notice(
                    "accused",
                    f"called {record.state.name.lower()} in incarnation {record.incarnation}, taken back",
                )
            )

    def _update_own_record(self, now: float, **changes: object) -> None:
        """A new own record. Where only the incarnation does not say so, it rises: a life never comes back."""
        self.me = msgspec.structs.replace(self.me, **changes)
        self.table.put(now, self.me)

    def _conflict(self, record: Record) -> None:
        """Two processes that claim one name from two addresses: both are told, and neither takes the other
        down.
        """
        if record.name != self.me.name or record.key == self.me.key:
            return
        if record.state in (State.ALIVE, State.JOINING):
            if record.key not in self.taken and len(self.taken) < 64:
                self.taken[record.key] = None
                self.actions.append(Notice("name taken", f"{record.name} is at {record.address} too"))
        else:
            self.taken.pop(record.key, None)

    def now_is(self, now: float, version: str, config: str) -> list[Action]:
        """The configuration was read again."""
        if (version, config) != (self.me.version, self.me.config):
            self._update_own_record(now, version=version, config=config, incarnation=self.me.incarnation + 1)
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """A planned stop: said to some at once, who spread it."""
        if self.leaving:
            return []
        self.leaving = True
        self._update_own_record(now, state=State.LEFT)
        others = self._others((State.JOINING, State.ALIVE, State.SUSPECT))
        for key in self.rng.sample(others, min(2 * HELPERS, len(others))):
            self.actions.append(Send(self.table.records[key].address, Updates(self._header(), (self.me,))))
        return self._take_actions()

    # what is told

    def sites(self) -> dict[str, dict[str, int]]:
        """For each site how many of its members are in which state, joining ones as alive."""
        found: dict[str, dict[str, int]] = {}
        for r in self.table.records.values():
            row = found.setdefault(r.site, {"alive": 0, "suspect": 0, "gone": 0, "left": 0})
            row["alive" if r.state is State.JOINING else r.state.name.lower()] += 1
        return found

    def known_records(self) -> Iterable[Record]:
        """All records, of ended members and of the own one too."""
        return self.table.records.values()
