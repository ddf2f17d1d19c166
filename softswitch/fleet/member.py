"""Membership protocol of one fleet member: failure detection, dissemination and anti-entropy.

Events in, actions out. The protocol is SWIM (direct and indirect probes in shuffled rounds, suspicion,
incarnations) with the three extensions of Lifeguard (probe timeouts that depend on the local health score,
suspicion timeouts that shrink with each confirming member, notification of the suspect first), and exchanges
that compare two tables by digests and send the differing records, as in Scuttlebutt.
docs/design/fleet-view.md gives the reasons.

Two rules go beyond these protocols. After a stall (a paused or starved process) every running timeout is
extended by the stall, and no member is suspected before its pending messages are read. A process that does
not see a majority of the members reports that it is cut off: unreachable members stay suspects, and it
declares none of them gone.
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

# members that are requested to probe a silent member; also how many members a refutation or a retry goes to
HELPERS = 3
ISOLATION_PERIODS = 6.0  # probe periods without any received message after which this process is cut off
MAX_HEALTH_SCORE = 8  # probe timeouts are multiplied by 1 + score
PIGGYBACK = 8  # records piggybacked on a message: with the header they fit a datagram of 1,400 bytes
# This process may be isolated if half of its last RECENT_PROBES probes failed, or from this health score on.
RECENT_PROBES, DOUBT_HEALTH_SCORE = 4, 4
MEAN_QUERIERS = 20  # members, on average, that ping a suspect at half of its suspicion's duration
MAX_BACKLOG = 4 * PIGGYBACK  # pending updates; above it an exchange of tables is cheaper
CONFIRMATIONS = 3  # number of confirming members at which a suspicion has its minimum duration
# Counted for `GET /metrics`. "indirect": requests to helpers; "accused": failed probes after which this
# process suspected the member; "refuted": received records of this member that it overruled; "standstills":
# stalls; "gone": members that this process declared gone; "garbage": messages of a wrong type, or from an
# earlier process of this member.
COUNTERS = ("probes", "indirect", "accused", "refuted", "exchanges", "standstills", "gone", "garbage")
MAX_INDIRECT_PROBES = 64  # concurrent probes on behalf of other members


@dataclass(frozen=True, slots=True)
class Periods:
    """Intervals and timeouts, in ms unless stated otherwise."""

    period: float = 500.0  # between two probes
    ack_timeout: float = 200.0  # of a direct probe
    # minimum duration of a suspicion: this many periods, times max(1, log10 of the fleet size)
    suspicion_periods: float = 3.0
    max_suspicion_factor: float = 3.0  # maximum duration, unconfirmed, over minimum duration
    exchange: float = 5_000.0  # between two exchanges of tables without a sign that they differ
    retry: float = 1_000.0  # between two attempts to reach members that are gone, and seeds while joining


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram to this address."""

    to: str
    message: Datagram


@dataclass(frozen=True, slots=True)
class Exchange:
    """Open a connection for an exchange and send `request`.

    Received messages go to `Member.exchange_message_received`.
    """

    to: str
    request: CompareDigests


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's record changed. `previous_state` is None for a new member."""

    record: Record
    previous_state: State | None


@dataclass(frozen=True, slots=True)
class Notice:
    """A notice for operators, which is logged.

    `event` is one of 'accused' (declared suspect or gone by others), 'cut off', 'sees a majority' (no longer
    cut off), 'name taken' (a name conflict) and 'refused' (a rejected message).
    """

    event: str
    details: str


Action = Send | Exchange | MemberChanged | Notice


@dataclass(slots=True)
class Probe:
    """The running probe. Times in ms of this process's clock."""

    key: str  # of the probed member
    seq: int
    ack_deadline: float  # of the direct probe
    ends_at: float  # when the probe has failed
    indirect_sent: bool = False
    nacks: int = 0  # received from helpers
    helpers: int = 0  # that were requested to probe the member


@dataclass(slots=True)
class Suspicion:
    """A member that is suspected to have failed. Times in ms of this process's clock."""

    incarnation: int
    started_at: float
    min_duration: float
    max_duration: float
    confirmers: set[str]  # keys of other members whose probes of it failed too
    not_before: float = 0.0  # earliest end
    queries: int = 0  # pings sent to the suspect because of the suspicion

    def next_query_at(self) -> float:
        """When the suspect is pinged next: at half of the duration, and again before it is declared gone."""
        return self.started_at + (self.ends_at - self.started_at) / 2 if self.queries == 0 else self.ends_at

    @property
    def ends_at(self) -> float:
        """When the member is declared gone: the more members confirm the suspicion, the earlier."""
        fraction = min(1.0, log10(len(self.confirmers) + 1) / log10(CONFIRMATIONS + 1))
        return max(
            self.not_before,
            self.started_at + self.max_duration - fraction * (self.max_duration - self.min_duration),
        )


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of another member, the requester."""

    requester: str  # address
    seq: int  # of the requester's PingRequest
    nack_at: float  # when the requester gets a Nack; `ends_at` once it was sent
    ends_at: float


class Member:
    """This process as a member of its fleet."""

    def __init__(
        self, fleet: str, me: Record, seeds: Iterable[str], periods: Periods, seed: int, now: float
    ) -> None:
        self.fleet, self.periods, self.rng = fleet, periods, Random(seed)
        self.me = msgspec.structs.replace(me, state=State.JOINING)
        self.seeds = [s for s in seeds if s != me.address]
        self.table = MemberTable()
        self.table.put(now, self.me)
        self.actions: list[Action] = []
        self.health_score = 0  # 0: healthy; raised by signs that this process itself is slow or isolated
        self.next_tick_due, self.started_at = now, now  # ms; a tick long after it is due shows a stall
        self.next_early_exchange = now  # earliest time of an exchange because of a differing digest
        self.recent_probes: deque[bool] = deque(maxlen=RECENT_PROBES)  # whether they were acknowledged
        self.own_suspects: dict[str, None] = {}  # keys of suspects that this process's probes did not reach
        # digest of the table that was counted; names present; names in total
        self.name_counts: tuple[int, int, int] = (-1, 0, 0)
        self.next_probe, self.next_exchange, self.next_retry = now, now, now
        self.probe: Probe | None = None
        self.probe_round: list[str] = []  # keys of the members still to be probed in this round
        self.seq = self.rng.getrandbits(32)
        self.suspicions: dict[str, Suspicion] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.last_received_at = now  # when the last valid message was received
        self.leaving = False
        self.cut_off = False
        # keys of other members that claim this name; each is reported once
        self.name_conflicts: dict[str, None] = {}
        self.rejections: dict[str, int] = {}  # number of rejected messages by reason
        self.counts = dict.fromkeys(COUNTERS, 0)

    # sent messages

    def _header(self) -> Header:
        return Header(self.fleet, FORMAT, self.me, self.table.digest, tuple(self.own_suspects)[:4])

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    def _updates_for(self, recipient: str = "") -> tuple[Record, ...]:
        """Updates to piggyback on a message to a member; first the recipient's record if it is suspect or
        gone.

        Only the recipient itself can refute that state.
        """
        record = self.table.records.get(recipient)
        suspected = record is not None and record.state in (State.SUSPECT, State.GONE)
        return self.table.next_updates(PIGGYBACK, (recipient,) if suspected else ())

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) % (1 << 40)
        return self.seq

    # timers

    def next_at(self) -> float:
        """The time by which `tick` has to be called again."""
        due = [self.next_probe, self.next_exchange, self.next_retry]
        if self.probe is not None:
            due.append(self.probe.ends_at if self.probe.indirect_sent else self.probe.ack_deadline)
        due += [min(s.ends_at, s.next_query_at()) for s in self.suspicions.values()]
        due += [h.nack_at for h in self.indirect_probes.values()]
        return min(due)

    def tick(self, now: float) -> list[Action]:
        """Handles due timers. Has to be called at `next_at`, and at least once a period."""
        if now - self.next_tick_due > self.periods.ack_timeout / 2:
            self._compensate_for_stall(now - self.next_tick_due)
        for seq in [seq for seq, h in self.indirect_probes.items() if now >= h.nack_at]:
            indirect = self.indirect_probes[seq]
            if indirect.nack_at < indirect.ends_at:
                self.actions.append(Send(indirect.requester, Nack(self._header(), indirect.seq)))
                indirect.nack_at = indirect.ends_at
            else:
                del self.indirect_probes[seq]
        self._probe(now)
        self._check_majority(now)
        for key, s in list(self.suspicions.items()):
            if s.queries == 0 and now >= s.next_query_at():
                s.queries = 1
                # In a large fleet only some members query, which bounds the load on the suspect.
                if self.rng.random() * self.table.count_present() < MEAN_QUERIERS:
                    self._ping(key, self._next_seq())
            if now >= s.ends_at:
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
        """Extends all running timeouts by a stall, in which this process was paused or starved.

        The running probe is dropped, because its answer may be unread. The stall also raises the health score
        of this process.
        """
        self.counts["standstills"] += 1
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        self.probe = None
        self.next_probe += gap
        self.last_received_at += gap
        for s in self.suspicions.values():
            s.started_at, s.not_before = s.started_at + gap, s.not_before + gap
        for h in self.indirect_probes.values():
            h.nack_at, h.ends_at = h.nack_at + gap, h.ends_at + gap

    def _health_multiplier(self) -> float:
        return 1.0 + self.health_score

    # probes

    def _others(self, states: Iterable[State]) -> list[str]:
        return [key for key, r in self.table.records.items() if r.state in states and key != self.me.key]

    def _probe(self, now: float) -> None:
        p = self.probe
        if p is not None and not p.indirect_sent and now >= p.ack_deadline:
            p.indirect_sent = True
            candidates = [k for k in self._others((State.ALIVE,)) if k != p.key]
            helpers = self.rng.sample(candidates, min(HELPERS, len(candidates)))
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
        if p is not None and now >= p.ends_at:
            self.probe = None
            if not self._is_suspect(p.key):  # a suspect's silence does not show that this process is isolated
                self._probe_failed(p)
            self._accuse(now, p.key)
        if now >= self.next_probe and self.probe is None and not self.leaving:
            target_key = self._next_target()
            self.next_probe = now + self.periods.period * self._health_multiplier()
            if target_key is None:
                return
            ack_timeout = self.periods.ack_timeout * self._health_multiplier()
            ends_at = max(self.next_probe, now + 3 * ack_timeout)
            self.probe = Probe(target_key, self._next_seq(), now + ack_timeout, ends_at)
            self.counts["probes"] += 1
            self._ping(target_key, self.probe.seq)

    def _probe_failed(self, probe: Probe) -> None:
        """Raises the health score by the number of helpers that sent no Nack; without helpers by 1.

        A helper that is reachable reports with a Nack that its probe failed too. Missing Nacks, or no helpers
        at all, are a sign that this process itself is isolated.
        """
        self.recent_probes.append(False)
        missed = probe.helpers - probe.nacks
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + (missed if probe.helpers else 1))

    def _is_suspect(self, key: str) -> bool:
        record = self.table.records.get(key)
        return record is not None and record.state is State.SUSPECT

    def _next_target(self) -> str | None:
        """The next member to probe, or None.

        Each round probes every other member once, in a new random order. This bounds the time until some
        member detects a failure.
        """
        for new_round in (False, True):
            if new_round:
                self.probe_round = self._others((State.JOINING, State.ALIVE, State.SUSPECT))
                self.rng.shuffle(self.probe_round)
            while self.probe_round:
                key = self.probe_round.pop()
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
        if (
            now - self.last_received_at > 2 * self.periods.period * self._health_multiplier()
            and self.table.count_present() > 2
        ):
            return  # nothing was received from any member: this process is probably the isolated one
        self.counts["accused"] += 1
        self.own_suspects[key] = None
        self._merge(now, (msgspec.structs.replace(record, state=State.SUSPECT),))
        self.actions.append(Send(record.address, Updates(self._header(), (self.table.records[key],))))

    def _start_suspicion(self, now: float, record: Record) -> None:
        found = self.suspicions.get(record.key)
        if found is not None and found.incarnation == record.incarnation:
            return
        n = max(1.0, log10(max(1, self.table.count_present())))
        min_duration = self.periods.suspicion_periods * n * self.periods.period
        max_duration = self.periods.max_suspicion_factor * min_duration
        self.suspicions[record.key] = Suspicion(record.incarnation, now, min_duration, max_duration, set())

    def _suspicion_expired(self, now: float, key: str) -> None:
        record, suspicion = self.table.records.get(key), self.suspicions[key]
        if record is None or record.state is not State.SUSPECT or record.incarnation != suspicion.incarnation:
            del self.suspicions[key]
        elif self.cut_off or self._may_be_isolated(now):
            # This process may be the isolated one: the member stays a suspect and is probed further.
            suspicion.not_before = now + self.periods.period
        elif suspicion.queries < 2:
            suspicion.queries, suspicion.not_before = 2, now + 2 * self.periods.ack_timeout
            self._ping(key, self._next_seq())
        else:
            del self.suspicions[key]
            self.counts["gone"] += 1
            self._merge(now, (msgspec.structs.replace(record, state=State.GONE),))

    def _may_be_isolated(self, now: float) -> bool:
        """Whether this process may be the isolated one, although the table does not show it yet.

        Signs are: no message was received lately, half of its last probes failed, or helpers were silent too.
        """
        silent = now - self.last_received_at > 2 * self.periods.period * self._health_multiplier()
        failed = self.recent_probes.count(False)
        return (
            silent
            or self.health_score >= DOUBT_HEALTH_SCORE
            or (failed > 0 and 2 * failed >= len(self.recent_probes))
        )

    def _check_majority(self, now: float) -> None:
        """Updates `cut_off`: true unless a majority of the members that did not leave is present.

        It is also true if no message was received for ISOLATION_PERIODS. This member counts as present. Gone
        members count in the total as long as their records are retained: otherwise a minority that declares
        the others gone would become a majority of the remaining total.
        """
        if self.name_counts[0] != self.table.digest:
            present, absent = set(), set()
            for r in self.table.records.values():
                if r.state in (State.JOINING, State.ALIVE):
                    present.add(r.name)
                elif r.state is not State.LEFT:
                    absent.add(r.name)  # its name may be present at another address
            self.name_counts = (self.table.digest, len(present), len(present | absent))
        _, n, total = self.name_counts
        silent = now - self.last_received_at > ISOLATION_PERIODS * self.periods.period
        # Exactly half is no majority: a fleet of two that loses one, or a partition into halves.
        cut_off = total > 1 and (2 * n <= total or silent)
        if cut_off != self.cut_off:
            self.cut_off = cut_off
            details = f"{n} of {total} members are present" + ", no messages are received" * silent
            self.actions.append(Notice("cut off" if cut_off else "sees a majority", details))
            for s in self.suspicions.values():  # reachable suspects get the full time to refute
                s.started_at, s.not_before, s.queries = now, 0.0, 0
                s.confirmers.clear()

    # exchanges

    def _exchange(self, address: str) -> None:
        self.counts["exchanges"] += 1
        self.actions.append(Exchange(address, CompareDigests(self._header(), tuple(self.table.buckets))))

    def _retry(self, now: float) -> None:
        """Opens exchanges with members that are gone, and with seeds that are not known as members.

        Gone members may be on the other side of a partition; only this retry merges the two sides again.
        Seeds are included because after a restart of all processes no member knows any other.
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
            if not self.seeds or now - self.started_at > 4 * self.periods.retry:
                self._complete_join(now)  # alone for now: the seeds are retried later
        elif lost:
            for address in self.rng.sample(lost, min(HELPERS, len(lost))):
                self._exchange(address)

    def _complete_join(self, now: float) -> None:
        if self.me.state is State.JOINING:
            self._update_own_record(now, state=State.ALIVE)

    # received messages

    def _rejection_reason(self, now: float, header: Header) -> str:
        """Why a message is rejected; empty if its sender belongs to this fleet."""
        if header.format != FORMAT:
            return f"format {header.format} of messages, {FORMAT} is spoken here"
        if header.fleet != self.fleet:
            return f"fleet {header.fleet!r}, this one is {self.fleet!r}"
        if header.sender.key == self.me.key:
            return f"name and address of {self.me.key}, which is this process"
        return ""

    def _reject(self, reason: str, sender: str) -> Rejected:
        if len(self.rejections) < 64 or reason in self.rejections:
            self.rejections[reason] = self.rejections.get(reason, 0) + 1
            if self.rejections[reason] == 1:
                self.actions.append(Notice("refused", f"{sender}: {reason}"))
        return Rejected(reason)

    def datagram_received(self, now: float, message: Message) -> list[Action]:
        """Handles a received datagram."""
        if isinstance(message, Rejected):
            self._reject(f"turned away there: {message.reason}", "a peer")
            return self._take_actions()
        if isinstance(message, CompareDigests | DifferingRecords | RemainingRecords):
            self.counts["garbage"] += 1
            return self._take_actions()
        header = message.header
        if header.sender.key == self.me.key:  # from an earlier process of this member
            self.counts["garbage"] += 1
            return self._take_actions()
        if reason := self._rejection_reason(now, header):
            rejection = self._reject(reason, header.sender.key)
            if not isinstance(message, Nack | Updates):
                self.actions.append(Send(header.sender.address, rejection))
            return self._take_actions()
        self.last_received_at = now
        self._merge(now, (header.sender, *getattr(message, "updates", ())))
        for key in header.suspects:
            if key in self.suspicions:
                self.suspicions[key].confirmers.add(header.sender.key)
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
            if len(self.indirect_probes) < MAX_INDIRECT_PROBES and message.to != self.me.key:
                seq = self._next_seq()
                wait = self.periods.ack_timeout * 0.8
                self.indirect_probes[seq] = IndirectProbe(
                    sender, message.seq, now + wait, now + 2 * self.periods.period
                )
                ping = Ping(self._header(), seq, message.to, self._updates_for(message.to))
                self.actions.append(Send(message.address, ping))
        if (
            header.digest != self.table.digest
            and not 0 < len(self.table.pending) <= MAX_BACKLOG
            and isinstance(message, Ack)
            and now >= self.next_early_exchange
            and not self.leaving
        ):
            # The tables differ although no updates are pending, so an update was lost. Or so many are
            # pending that an exchange is cheaper: many members joined at once.
            self.next_early_exchange = now + 2 * self.periods.period
            self._exchange(sender)
        return self._take_actions()

    def _ack_received(self, now: float, message: Ack) -> None:
        p = self.probe
        if p is not None and p.seq == message.seq:
            self.probe = None
            self.recent_probes.append(True)
            self.health_score = max(0, self.health_score - 1)
            self.own_suspects.pop(p.key, None)
            return
        indirect = self.indirect_probes.pop(message.seq, None)
        if indirect is not None:
            # The Ack carries the record of the probed member as an update.
            self.actions.append(
                Send(indirect.requester, Ack(self._header(), indirect.seq, (message.header.sender,)))
            )

    def exchange_message_received(self, now: float, message: Stream) -> tuple[Stream | None, list[Action]]:
        """Handles a message of an exchange. Returns the answer, or None, and the actions."""
        if isinstance(message, Rejected):
            self._reject(f"turned away there: {message.reason}", "a peer")
            return None, self._take_actions()
        if reason := self._rejection_reason(now, message.header):
            return self._reject(reason, message.header.sender.key), self._take_actions()
        self.last_received_at = now
        if isinstance(message, CompareDigests):
            self._merge(now, (message.header.sender,))
            buckets = self.table.differing_buckets(message.buckets)
            records = self.table.records_in(buckets)
            return DifferingRecords(
                self._header(), buckets, records, self.table.seconds_since_end(now, records)
            ), self._take_actions()
        if isinstance(message, DifferingRecords):
            # read before the merge, so that the sender's records are not returned to it
            records = self.table.records_in(message.buckets)
            rest = RemainingRecords(self._header(), records, self.table.seconds_since_end(now, records))
            self._merge(now, (message.header.sender, *message.records), (0, *message.ages))
            self._complete_join(now)
            return rest, self._take_actions()
        self._merge(now, (message.header.sender, *message.records), (0, *message.ages))
        return None, self._take_actions()

    # records

    def _merge(self, now: float, records: Iterable[Record], ages: Iterable[int] = ()) -> None:
        """Merges records into the table. `ages`: seconds since each member ended; 0 where none is given."""
        for record, age in zip(records, chain(ages, repeat(0)), strict=False):
            if record.key == self.me.key:
                self._refute(now, record)
                continue
            new = record.key not in self.table.records
            old = self.table.put(now, record, 1000.0 * age)
            if old is None and not (new and record.key in self.table.records):
                continue
            if record.state is State.SUSPECT:
                self._start_suspicion(now, record)
            else:
                self.suspicions.pop(record.key, None)
                self.own_suspects.pop(record.key, None)
            self._check_name_conflict(record)
            if old is None or old.state is not record.state or old.boot != record.boot:
                self.actions.append(MemberChanged(record, None if old is None else old.state))

    def _refute(self, now: float, record: Record) -> None:
        """Overrules a received record of this member by raising the incarnation.

        Does nothing if the received record is this process's current one or an older one. Records to overrule
        come from a restart without a snapshot, a clock that was set back, a suspicion, or the end of an
        earlier incarnation.
        """
        if record.boot == self.me.boot and record.rank <= self.me.rank:
            return
        if self.leaving and record.state in ENDED and record.incarnation >= self.me.incarnation:
            return
        if record.incarnation < self.me.incarnation:
            return
        if record.boot == self.me.boot and record.state is State.SUSPECT:
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        self.counts["refuted"] += 1
        self._update_own_record(now, incarnation=record.incarnation + 1)
        if not self.leaving:  # sent at once: piggybacked on later probes it may arrive too late
            candidates = self._others((State.ALIVE,))
            for key in self.rng.sample(candidates, min(HELPERS, len(candidates))):
                self.actions.append(
                    Send(self.table.records[key].address, Updates(self._header(), (self.me,)))
                )
        if record.state in (State.SUSPECT, State.GONE) and record.boot == self.me.boot:
            self.actions.append(
                Notice(
                    "accused",
                    f"declared {record.state.name.lower()} in incarnation {record.incarnation}, refuted",
                )
            )

    def _update_own_record(self, now: float, **changes: object) -> None:
        """Changes fields of this member's record.

        Callers raise the incarnation if the new record would not outrank the old one without it.
        """
        self.me = msgspec.structs.replace(self.me, **changes)
        self.table.put(now, self.me)

    def _check_name_conflict(self, record: Record) -> None:
        """Reports another member that claims this member's name from a different address.

        Both members report the conflict, and neither stops the other.
        """
        if record.name != self.me.name or record.key == self.me.key:
            return
        if record.state in (State.ALIVE, State.JOINING):
            if record.key not in self.name_conflicts and len(self.name_conflicts) < 64:
                self.name_conflicts[record.key] = None
                self.actions.append(Notice("name taken", f"{record.name} is at {record.address} too"))
        else:
            self.name_conflicts.pop(record.key, None)

    def update_configuration(self, now: float, version: str, config: str) -> list[Action]:
        """Publishes a changed version or configuration digest."""
        if (version, config) != (self.me.version, self.me.config):
            self._update_own_record(now, version=version, config=config, incarnation=self.me.incarnation + 1)
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Announces a planned stop to some members at once; they disseminate it."""
        if self.leaving:
            return []
        self.leaving = True
        self._update_own_record(now, state=State.LEFT)
        others = self._others((State.JOINING, State.ALIVE, State.SUSPECT))
        for key in self.rng.sample(others, min(2 * HELPERS, len(others))):
            self.actions.append(Send(self.table.records[key].address, Updates(self._header(), (self.me,))))
        return self._take_actions()

    # reports

    def count_by_site(self) -> dict[str, dict[str, int]]:
        """Counts the members of each site by state; joining members count as alive."""
        counts: dict[str, dict[str, int]] = {}
        for r in self.table.records.values():
            row = counts.setdefault(r.site, {"alive": 0, "suspect": 0, "gone": 0, "left": 0})
            row["alive" if r.state is State.JOINING else r.state.name.lower()] += 1
        return counts

    def known_records(self) -> Iterable[Record]:
        """All records, including those of ended members and of this one."""
        return self.table.records.values()
