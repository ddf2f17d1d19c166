"""The binary link to the quote engines: one connection to each, reopened promptly when it ends."""

from __future__ import annotations

from struct import error as StructError
from struct import pack, unpack_from

from loguru import logger
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import Int16StringReceiver

from softswitch import interface as i
from softswitch.core.switch import NORMAL, Call, Switch
from softswitch.settings import parse_report

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, LEFT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 3, 5, 11, 17, 21, 31, 33
GIVEN_UP = 16
LONGEST = 16_384  # bytes of one message
LATER = 4_096  # messages kept for a link that is not up
BACKLOG = 1 << 20  # bytes that may wait to be written to an engine that does not read
SWEEP = 100.0  # ms between two looks at the links
CUT_SHORT = 300.0  # ms that the next piece of a message may take
UNHEARD_FOR = 1_000.0  # ms after which a release that was written is taken to have arrived
STEADY_AFTER = 1_000.0  # ms after which a connection that ends is opened anew at once
# Ms of silence of a link with something at stake. Engines tell their state at a beat of their own, which is
# seen, up to MOST_BEAT; a link that misses it is tested, and given up for a new one after one and a half.
# SILENT_AFTER: the engine was silent on any link, and the calls that stand there are cut.
TEST_SLACK = 75.0
FIRST_BEAT, LEAST_BEAT, MOST_BEAT, SILENT_AFTER = 1_300.0, 300.0, 2_000.0, 6_500.0
UNTESTED_BEAT = 3_500.0  # the longest beat, and the first, where engines may not be tested
# An engine that drains tells its state no more, and takes no set-ups: calls that stand there are all that is
# at stake, whose callers have to know within 8 s. A link given up after one and a half of it is in time.
DRAINED_BEAT = 3_000.0
# Ms. A release has to reach its caller within 1 s: so far apart are connections that only listen, and so long
# are they open; for so long that often, then rarely, then no more.
EAR_EVERY, EAR_FOR, OFTEN_FOR, RARELY, ORPHANS_FOR = 450.0, 250.0, 12_000.0, 3_000.0, 120_000.0
BACK_OFF, MOST_BACK_OFF = 50.0, 400.0  # ms between tries to open
MEANT = frozenset({PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED})


def message(kind: int, call: str, *parameters: tuple[int, bytes]) -> bytes:
    said = b"".join(pack(">BH", code, len(value)) + value for code, value in parameters)
    return pack(">B", kind) + bytes.fromhex(call) + said


def read(data: bytes, meant: frozenset[int] = MEANT) -> tuple[int, str, dict[int, bytes]]:
    """Type, call and parameters of a message; ValueError if it is not whole. `meant`: types that may come."""
    if len(data) < 9:
        raise ValueError("shorter than its head")
    found, at = {}, 9
    while at < len(data):
        try:
            code, size = unpack_from(">BH", data, at)
        except StructError:
            raise ValueError("parameter cut short") from None
        at += 3 + size
        if at > len(data):
            raise ValueError("parameter longer than the message")
        if code in found:
            raise ValueError("parameter given twice")
        found[code] = data[at - size : at]
    kind = data[0]
    if kind not in meant:
        raise ValueError("type not known")
    if (kind == ANSWER and DESCRIPTION not in found) or len(found.get(CAUSE, b" ")) != 1:
        raise ValueError("answer without description, or cause of no byte")
    if kind == RELEASE and CAUSE not in found:
        raise ValueError("release without cause")
    return kind, data[1:9].hex(), found


def begun_release(data: bytes) -> tuple[str, int] | None:
    """Call and cause of a release of which a part has come, from its length on; None if it is none, or if not
    even the call is told yet. The cause is NORMAL where it did not come.
    """
    if len(data) < 11 or data[2] != RELEASE:
        return None
    at, cause = 11, NORMAL
    while at + 3 <= len(data):
        code, size = unpack_from(">BH", data, at)
        at += 3 + size
        if code == CAUSE and size == 1 and at <= len(data):
            cause = data[at - 1]
    return data[3:11].hex(), cause


class EngineConnection(Int16StringReceiver):
    """One connection to a quote engine."""

    MAX_LENGTH = LONGEST

    def __init__(self, link: Link) -> None:
        self.link = link
        self.spoilt = False
        self.waits: float | None = None  # when the last piece came of a message that is not whole
        self.since = link.switch.wheel.now

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.link.up(self)

    def dataReceived(self, data: bytes) -> None:
        if self.spoilt:
            return
        super().dataReceived(data)
        # A message may come in any pieces, as long as they keep coming.
        self.waits = self.link.switch.wheel.now if self.recvd else None

    def spoil(self, why: str) -> None:
        """Guards against what stands behind a spoilt message: where the next one begins is not known, so
        nothing more is read, and every set-up open here is the switch's to repeat or to fail, at once.
        """
        if not self.spoilt:
            self.spoilt = True
            self.link.switch.count["engine links spoilt"] += 1
            logger.warning("engine {}: {}, connection closed", self.link.server, why)
            if self.link.switch.lives and self.recvd:
                begun = f"{self.link.server} {len(self.recvd)} bytes {self.recvd[:11].hex()}"
                self.link.switch.lives.note("", "message begun and cut short", begun)
            self.transport.abortConnection()
            self.link.down(self)

    def cut_short(self) -> None:
        """No more will come of the message that was begun. If it was a release, the engine has told it, as
        far as it knows, and does so no more: what came of it has to do.
        """
        begun = begun_release(self.recvd) if self.recvd else None
        if begun is not None:
            self.link.begun(*begun)

    def connectionLost(self, reason: object = None) -> None:
        if not self.spoilt:
            self.cut_short()
        self.link.down(self)

    # A producer's three calls: the engine reads too slowly, reads again, or the connection is over.
    def pauseProducing(self) -> None:
        self.link.choked = True

    def resumeProducing(self) -> None:
        self.link.choked = False
        self.link.flush()

    def stopProducing(self) -> None:
        pass

    def stringReceived(self, data: bytes) -> None:
        if self.spoilt:
            return None
        self.waits = None
        try:
            kind, call, said = read(data)
        except ValueError as e:
            return self.spoil(f"bad message ({e})")
        self.link.heard(kind, call, said)
        return None

    def lengthLimitExceeded(self, length: int) -> None:
        self.spoil(f"message of {length} bytes")


class Ear(ClientFactory):
    """One more connection, which only listens, and not for long.

    An engine whose connection we gave up as silent may not know yet that it is over, and write the releases
    of calls set up there to it as before; they come again on the next connection that is opened. So one is
    opened every now and then while such calls stand.
    """

    noisy = False
    choked = False

    def __init__(self, link: Link) -> None:
        self.link, self.switch, self.server = link, link.switch, link.server
        self.connection: EngineConnection | None = None

    def buildProtocol(self, addr: object) -> EngineConnection:
        return EngineConnection(self)

    def up(self, connection: EngineConnection) -> None:
        now = self.switch.wheel.now
        self.connection = connection
        self.switch.wheel.at(now + EAR_FOR, self._enough)
        self.switch.wheel.at(now + 3 * EAR_FOR, connection.transport.abortConnection)

    def flush(self) -> None:
        """Nothing waits to be written here."""

    def _enough(self) -> None:
        """Our side closes; what is on its way still comes."""
        if self.connection is not None:
            self.connection.transport.loseWriteConnection()

    def down(self, connection: EngineConnection) -> None:
        self.connection = None

    def begun(self, call: str, cause: int) -> None:
        self.link.begun(call, cause)

    def heard(self, kind: int, call: str, said: dict[int, bytes]) -> None:
        self.link.heard_at = self.switch.wheel.now
        if kind == RELEASE:
            if self.switch.lives:
                self.switch.lives.note(call, "release on a connection that listens", self.server)
            self.connection.sendString(message(HEARD, call))
            self.link.released(call, said)


class Link(ClientFactory):
    """What goes to one quote engine and comes from it, over connections that come and go."""

    noisy = False

    def __init__(self, engines: EngineLinks, server: str, address: tuple[str, int]) -> None:
        self.engines, self.server, self.address = engines, server, address
        self.switch = engines.switch
        self.connection: EngineConnection | None = None
        self.opening = self.choked = self.closing = self.waiting = False
        self.backlog = 0  # bytes written since the engine was last seen to read
        self.out: set[str] = set()  # set-ups written to the connection that is up
        # What waits to be written: calls to be set up, which can still be withdrawn, and releases.
        self.later: dict[str, Call | bytes] = {}
        # Releases of calls that stood, written lately and not acknowledged: when and what, the oldest first.
        # A connection that is reset takes them with it, and nothing else would tell the engine.
        self.unheard: dict[str, tuple[float, bytes]] = {}
        self.last = self.heard_at = self.switch.wheel.now  # when this link, or the engine, last gave a sign
        self.tested = self.not_before = self.told = 0.0
        # beat: how far apart it tells its state; told: when it last did, on this link
        self.beat = FIRST_BEAT if engines.set.may_probe else UNTESTED_BEAT
        self.back_off = BACK_OFF
        self.orphans: set[str] = set()  # calls that stand and were set up on a connection that is over
        self.orphaned, self.listens = 0.0, False  # since when; whether a look at them is due

    def open(self) -> None:
        if self.connection is not None or self.opening or self.closing or self.waiting:
            return None
        if self.switch.wheel.now < self.not_before:  # however much there is to send
            self.waiting = True
            return self.switch.wheel.at(self.not_before, self._open_now)
        self.opening = True
        self.engines.connect(self)
        return None

    def _open_now(self) -> None:
        self.waiting = False
        self.open()

    def buildProtocol(self, addr: object) -> EngineConnection:
        return EngineConnection(self)

    def up(self, connection: EngineConnection) -> None:
        if self.closing:
            connection.transport.abortConnection()
            return
        self.connection, self.opening, self.choked, self.backlog = connection, False, False, 0
        self.last, self.told = self.switch.wheel.now, 0.0
        if self.switch.lives:
            self.switch.lives.note("", "link up", self.server)
        self.flush()

    def flush(self) -> None:
        """Writes what waited, as far as it is read. A set-up tells how long its caller waits from now."""
        while self.connection is not None and not self.choked and self.later:
            call = next(iter(self.later))
            what = self.later.pop(call)
            self._write(call, what if isinstance(what, bytes) else self.engines.written(what))

    def leave(self) -> None:
        """The engine takes nothing new: set-ups that still wait here go elsewhere."""
        for call in [call for call, what in self.later.items() if isinstance(what, Call)]:
            del self.later[call]
            self.switch.unreachable(self.server, call)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.opening = False
        gone = reason.check(Refused)  # nobody listens there: the process is gone, and its calls with it
        if gone:  # before set-ups go elsewhere: they may come back here at once, to wait for the next process
            self.later = {call: what for call, what in self.later.items() if isinstance(what, Call)}
        self.leave()
        if gone:
            self.switch.died(self.server)
        self._again()

    def down(self, connection: EngineConnection) -> None:
        if connection is not self.connection:
            return
        self.connection, out, self.out = None, self.out, set()
        self.switch.count["engine connections lost"] += 1
        if self.switch.lives:
            self.switch.lives.note("", "link down", self.server)
        for call in out:
            self.switch.broken(self.server, call)
        if connection.spoilt:  # given up by us: the engine may not know. One that closes or dies does
            self._orphan()
        self._lapse(self.switch.wheel.now)
        for call, (_, data) in self.unheard.items():
            self.switch.count["releases to engines sent again"] += 1
            self.later.setdefault(call, data)
        self.unheard.clear()
        if self.switch.wheel.now - connection.since < STEADY_AFTER:
            self._again()  # guards against a loop with an engine that hangs up on each new connection
        elif self.later or self.engines.wanted(self.server):
            self.back_off = BACK_OFF
            self.open()  # at once: releases that we missed come on the next connection

    def _orphan(self) -> None:
        """The calls that stand here were set up on connections that are over."""
        now = self.switch.wheel.now
        self.orphans = {call for call, c in self.switch.calls.items() if c.stands and c.server == self.server}
        self.orphaned = now
        if self.orphans and not self.listens:
            self.listens = True
            self.switch.wheel.at(now + EAR_EVERY, self._listen)

    def _listen(self) -> None:
        """What an engine has written to a connection that is over comes again on the next one."""
        now, calls = self.switch.wheel.now, self.switch.calls
        self.orphans = {call for call in self.orphans if call in calls}
        self.listens = bool(self.orphans) and now - self.orphaned < ORPHANS_FOR and not self.closing
        if not self.listens:
            return
        rare = now - self.orphaned > OFTEN_FOR
        self.switch.wheel.at(now + (RARELY if rare else EAR_EVERY), self._listen)
        if self.connection is not None and self.engines.wanted(self.server):
            self.switch.count["engine connections that listen"] += 1
            self.engines.connect(self, Ear(self))

    def begun(self, call: str, cause: int) -> None:
        """A release whose end did not come. Only a call that stands here is over by it: an open set-up is
        repeated or failed with the link.
        """
        known = self.switch.calls.get(call)
        if known is not None and known.stands and known.server == self.server:
            self.switch.count["releases cut short"] += 1
            self.released(call, {CAUSE: bytes((cause,))})

    def released(self, call: str, said: dict[int, bytes]) -> None:
        self.out.discard(call)
        report = self.engines.report(said[REPORT]) if REPORT in said else ()
        self.switch.cleared(self.server, call, said[CAUSE][0], said.get(NOTE, b"").decode("latin-1"), report)

    def _again(self) -> None:
        self.not_before = self.switch.wheel.now + self.back_off
        self.back_off = min(2 * self.back_off, MOST_BACK_OFF)
        if self.later or self.engines.wanted(self.server):
            self.open()

    def _lapse(self, now: float) -> None:
        """Releases that were written so long ago have arrived."""
        while self.unheard and now - self.unheard[first := next(iter(self.unheard))][0] > UNHEARD_FOR:
            del self.unheard[first]

    def write(self, call: str, what: Call | bytes) -> None:
        if len(self.later) >= LATER:
            if isinstance(what, Call):
                self.switch.unreachable(self.server, call)
            else:  # its call stands on there until the engine ends it
                self.switch.count["releases to engines dropped"] += 1
            return
        self.later[call] = what
        self.flush()
        if self.connection is None:
            self.open()

    def _write(self, call: str, data: bytes) -> None:
        if data[0] == SET_UP:
            self.out.add(call)
            if self.switch.lives:
                self.switch.lives.note(call, "set-up written", self.server)
            self.switch.relayed(call)
        elif data[0] == RELEASE:
            if call in self.out:
                self.out.discard(call)  # the end of this connection gives it up as well
            else:
                self.unheard[call] = (self.switch.wheel.now, data)
            if self.switch.lives:
                self.switch.lives.note(call, "release written", self.server)
        self.backlog = self.backlog + len(data) if self.choked else 0
        if self.backlog > BACKLOG:
            logger.warning("engine {}: does not read, connection closed", self.server)
            self.connection.transport.abortConnection()
            return
        self.connection.sendString(data)

    def withdraw(self, call: str) -> bool:
        """Takes back a set-up that was never written."""
        if isinstance(self.later.get(call), Call):
            del self.later[call]
            return True
        return False

    def heard(self, kind: int, call: str, said: dict[int, bytes]) -> None:
        self.last = self.heard_at = self.switch.wheel.now
        report = self.engines.report(said[REPORT]) if REPORT in said else ()
        if kind == ANSWER:
            self.out.discard(call)
            self.switch.answered(self.server, call, said.get(DESCRIPTION, b""))
        elif kind == RELEASE:
            self._write(call, message(HEARD, call))
            self.released(call, said)
        elif kind == STATE or kind == TESTED:
            if kind == STATE and self.told:
                most = MOST_BEAT if self.engines.set.may_probe else UNTESTED_BEAT
                gap = min(max(self.last - self.told, LEAST_BEAT), most)
                self.beat = max(gap, 0.9 * self.beat)
            self.told = self.last if kind == STATE else self.told
            cause = said.get(CAUSE, b"\1")
            self.switch.sampled(self.server, kind == STATE or cause[:1] == b"\1", report)
        elif kind == HEARD:
            self.unheard.pop(call, None)
        else:
            self.switch.count["engine messages that mean nothing"] += kind != PROGRESS

    def sweep(self, now: float) -> None:
        """A silent engine is tested, and given up in time for its calls to be released."""
        waits = self.connection.waits if self.connection is not None else None
        if waits is not None and now - waits > CUT_SHORT:
            self.connection.cut_short()
            return self.connection.spoil("message cut short")
        self._lapse(now)
        drains = not self.out and self.switch.states.get(self.server) is not i.EndpointState.READY
        beat = max(self.beat, DRAINED_BEAT) if drains else self.beat
        if now - self.last < beat + TEST_SLACK or not (self.out or self.switch.busy_at(self.server)):
            return None
        silent = now - self.heard_at
        if silent >= SILENT_AFTER:
            logger.warning("engine {}: silent for {:.0f} ms, its calls are cut", self.server, silent)
            self.last = self.heard_at = now
            self.switch.died(self.server)
            if self.connection is not None:
                self.connection.transport.abortConnection()
        elif self.connection is not None and now - self.last >= 1.5 * beat + 2 * TEST_SLACK:
            # Guards against a link that stays open and brings nothing: it took engines out for many seconds.
            self.connection.spoil("silent though tested" if self.engines.set.may_probe else "silent")
        elif self.connection is not None and self.tested <= self.last and self.engines.set.may_probe:
            self.tested = now
            self.switch.count["tests sent"] += 1
            self._write("", message(TEST, "00" * 8, (CAUSE, b"\0")))
        return None

    def close(self) -> None:
        self.closing = True
        self.leave()
        if self.connection is not None:
            self.connection.transport.loseConnection()


class EngineLinks:
    """All quote engines of the list. Fulfils `core.switch.Engines`."""

    def __init__(self, reactor: object, settings: i.Settings) -> None:
        self.reactor, self.set = reactor, settings
        self.switch: Switch
        self.links: dict[str, Link] = {}

    def attach(self, switch: Switch) -> None:
        self.switch = switch
        switch.wheel.at(switch.wheel.now + SWEEP, self._sweep)

    def connect(self, link: Link, ear: Ear | None = None) -> None:
        self.reactor.connectTCP(*link.address, ear or link, timeout=self.set.connect_timeout / 1000)

    def report(self, text: bytes) -> tuple[float, ...]:
        return parse_report(self.set, text.decode("latin-1"))

    def wanted(self, server: str) -> bool:
        return self.switch.states.get(server) is i.EndpointState.READY or self.switch.busy_at(server)

    def known(self, server: str, address: tuple[str, int]) -> None:
        """An engine of the list; called before the switch has the news."""
        link = self.links.get(server)
        if link is None or link.address != address:
            old, link = link, Link(self, server, address)
            self.links[server] = link
            if old is not None:  # what it was told to release goes to where it is now
                old.close()
                link.later, old.later = old.later | link.later, {}
        link.open()

    def set_up(self, server: str, call: Call) -> None:
        link = self.links.get(server)
        if link is None:
            self.switch.unreachable(server, call.order.call)
        else:
            link.write(call.order.call, call)

    def written(self, call: Call) -> bytes:
        order, left = call.order, max(1.0, call.deadline - self.switch.wheel.now)
        return message(
            SET_UP,
            order.call,
            (CLASS, order.klass.encode()),
            (LEFT, b"%d" % left),
            (NUMBER, order.number.encode()),
            (DESCRIPTION, order.description),
        )

    def drains(self, server: str) -> None:
        """The list says so: set-ups that are not written yet go elsewhere."""
        if server in self.links:
            self.links[server].leave()

    def give_up(self, server: str, call: str) -> None:
        link = self.links.get(server)
        if link and not link.withdraw(call):
            self.release(server, call, GIVEN_UP)

    def release(self, server: str, call: str, cause: int) -> None:
        link = self.links.get(server)
        if link:
            link.write(call, message(RELEASE, call, (CAUSE, bytes((cause & 255,)))))

    def _sweep(self) -> None:
        now = self.switch.wheel.now
        self.switch.wheel.at(now + SWEEP, self._sweep)
        for server, link in list(self.links.items()):
            link.sweep(now)
            if self.switch.states.get(server) is i.EndpointState.REMOVED and not self.switch.busy_at(server):
                link.close()
                del self.links[server]
                self.switch.drop(server)
