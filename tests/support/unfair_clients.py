"""Clients that take more than their share, each kind on each front, and usual clients beside them.

Greedy clients run in processes of their own. Each is a function of the address of its front and a time until
which it goes on. The usual clients, one for each front, are timed by the process that runs the engines.
"""

import json
import re
import select
import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass, field
from multiprocessing import get_context

from support.greedy_peers import OWN_LAG, PATIENCE, own_memory_mb
from support.harness import Stage
from support.sip_bench import invite

USUAL_INTERVAL = 0.2  # s between two requests of each usual client
ANSWER_TIMEOUT = 8.0  # s for which late answers are waited for, after the greedy clients
FIRST_USUAL_ID = 1 << 40
CONNECT_TIMEOUT = 2.0  # s
HANDSHAKE = (
    b"GET /v1/calls HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
)


def frame(data, opcode=1, final=True):
    """Returns a masked WebSocket frame; its mask is zero."""
    size = len(data)
    lengths = bytes((0x80 | size,)) if size < 126 else b"\xfe" + struct.pack(">H", size)
    return bytes((0x80 * final | opcode,)) + lengths + bytes(4) + data


def place(n, call_class="x", patience=PATIENCE):
    """Returns the frame that places a call over the call-control API."""
    message = {"v": 1, "do": "place", "id": f"{n:016x}", "class": call_class, "number": "77"}
    return frame(json.dumps(message | {"patience_ms": patience, "dest": 0}).encode())


# greedy clients


def opened(address):
    """Returns a new connection, or None if it was not accepted."""
    with suppress(OSError):
        sock = socket.create_connection(address, CONNECT_TIMEOUT)
        sock.setblocking(False)
        return sock
    return None


def shake_hands(sock):
    """Completes the handshake of a WebSocket."""
    sock.setblocking(True)
    sock.settimeout(CONNECT_TIMEOUT)
    sock.sendall(HANDSHAKE + b"\r\n")
    sock.recv(4_096)
    sock.setblocking(False)


def write_pieces(address, until, data, connections, piece, interval, upgrade=False):
    """Writes `data` on many connections in pieces, one each `interval` s, and reconnects where closed."""
    open_connections = {}  # socket: bytes written
    while time.monotonic() < until:
        while len(open_connections) < connections and time.monotonic() < until:
            sock = opened(address)
            if sock is None:
                break
            with suppress(OSError):
                if upgrade:
                    shake_hands(sock)
                open_connections[sock] = 0
        for sock, written in list(open_connections.items()):
            try:
                if sock.recv(65_536) == b"":
                    raise ConnectionError
            except BlockingIOError:
                pass
            except OSError:
                sock.close()
                del open_connections[sock]
                continue
            with suppress(BlockingIOError, ConnectionError):
                open_connections[sock] += sock.send(data[written : written + piece])
        time.sleep(interval)


def flood(address, until, make_piece, upgrade=False):
    """Writes pieces at full speed on one connection, and reads what it is sent; reconnects where closed."""
    sock, number = None, 1
    while time.monotonic() < until:
        if sock is None:
            sock = opened(address)
            if sock is None:
                continue
            left = b""
            if upgrade:
                with suppress(OSError):
                    shake_hands(sock)
        if not left:
            left, number = make_piece(number), number + 64
        try:
            readable, writable, _ = select.select([sock], [sock], [], 0.1)
            if readable and sock.recv(1 << 18) == b"":
                raise ConnectionError
            if writable:
                left = left[sock.send(left) :]
        except OSError:
            sock.close()
            sock = None


def connect_again(address, until, data, connections):
    """Connects, writes, and closes or is closed, on many connections side by side, as fast as possible."""
    while time.monotonic() < until:
        batch = [sock for sock in (opened(address) for _ in range(connections)) if sock is not None]
        for sock in batch:
            with suppress(OSError):
                sock.send(data)
        for sock in batch:
            sock.close()


def write_and_leave(address, until, make_data, stay, upgrade=False):
    """Writes, and closes `stay` s later, again and again until the time is up."""
    number = 1
    while time.monotonic() < until:
        sock = opened(address)
        if sock is None:
            continue
        with suppress(OSError):
            if upgrade:
                shake_hands(sock)
            sock.setblocking(True)
            sock.settimeout(1.0)
            sock.sendall(make_data(number))
        number += 100_000
        time.sleep(stay)
        sock.close()


def many(make_one):
    """Returns a function that makes a piece of 64 messages with consecutive numbers."""
    return lambda first: b"".join(make_one(n) for n in range(first, first + 64))


def sip_request(method, n, *headers):
    """Returns a SIP request without a body."""
    lines = (f"{method} sip:77@net SIP/2.0", f"Call-ID: {n:016x}", f"CSeq: 1 {method}", *headers)
    return "\r\n".join((*lines, "Content-Length: 0", "", "")).encode()


def control_request(do, n):
    """Returns a frame of the call-control API that names a call."""
    return frame(b'{"v":1,"do":"%s","id":"%016x"}' % (do.encode(), n))


SHORT_FIELDS = b"".join(b"h%x:\r\n" % n for n in range(2_300))
LONG_SIP = b"INVITE sip:77@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: 15000\r\n\r\n" + b"x" * 14_000
SHORT_SIP = b"INVITE sip:77@net SIP/2.0\r\n" + SHORT_FIELDS
LONG_FRAME = frame(b"x" * 24_000)[:23_000]
FRAGMENTS = frame(b"x", final=False) + frame(b"x", opcode=0, final=False) * 20_000
HANDSHAKE_FIELDS = HANDSHAKE + SHORT_FIELDS
LONG_CALL = b"POST /v1/softswitch/drainx HTTP/1.1\r\nHost: m\r\nContent-Length: 4000\r\n\r\n" + b"x" * 3_900
CALL_FIELDS = b"GET /v1/readyz HTTP/1.1\r\n" + SHORT_FIELDS
GET = b"GET /v1/nothing HTTP/1.1\r\nHost: m\r\n\r\n"


@dataclass(frozen=True)
class Kind:
    """A kind of greedy client: its front, its function and the arguments of that."""

    front: str  # "sip", "web" or "mgmt"
    function: object
    arguments: tuple


def _slow(front, data, connections=300, piece=200, interval=0.05):
    return Kind(front, write_pieces, (data, connections, piece, interval, front == "web"))


def _stopped(front, data, connections=300, upgrade=False):
    return Kind(front, write_pieces, (data, connections, len(data), 0.2, upgrade))


def _flood(front, make_one):
    return Kind(front, flood, (many(make_one), front == "web"))


# Many connections that write slowly, stop half way, or send very many short fields.
SLOW = {
    "sip writes slowly": _slow("sip", LONG_SIP),
    "sip stops half way": _stopped("sip", LONG_SIP),
    "sip short fields": _stopped("sip", SHORT_SIP),
    "web writes slowly": _slow("web", LONG_FRAME),
    "web stops half way": _stopped("web", LONG_FRAME, upgrade=True),
    "web short fields": _stopped("web", HANDSHAKE_FIELDS[:15_000]),
    "web one-byte fragments": _stopped("web", FRAGMENTS, connections=60, upgrade=True),
    "mgmt writes slowly": _slow("mgmt", LONG_CALL),
    "mgmt stops half way": _stopped("mgmt", LONG_CALL),
    "mgmt short fields": _stopped("mgmt", CALL_FIELDS[:7_900]),
}
# One connection at full speed.
FLOODS = {
    "sip OPTIONS": _flood("sip", lambda n: sip_request("OPTIONS", n)),
    "sip new BYEs": _flood("sip", lambda n: sip_request("BYE", n)),
    "sip new CANCELs": _flood("sip", lambda n: sip_request("CANCEL", n)),
    "sip ACKs": _flood("sip", lambda n: sip_request("ACK", n)),
    "sip responses": _flood(
        "sip", lambda n: b"SIP/2.0 200 OK\r\nCall-ID: %016x\r\nContent-Length: 0\r\n\r\n" % n
    ),
    "sip empty lines": _flood("sip", lambda n: b"\r\n" * 100),
    "sip new classes": _flood("sip", lambda n: invite(n, call_class=f"class{n}")),
    "sip new tenants": _flood("sip", lambda n: invite(n, f"Organization: t{n}", call_class="x")),
    "sip new methods": _flood("sip", lambda n: sip_request(f"M{n}", n)),
    "sip no id": _flood("sip", lambda n: b"BYE sip:77@net SIP/2.0\r\nContent-Length: 0\r\n\r\n"),
    "sip unreadable": _flood("sip", lambda n: b"nonsense %d\r\n\r\n" % n),
    "web new watches": _flood("web", lambda n: control_request("watch", n)),
    "web new releases": _flood("web", lambda n: control_request("release", n)),
    "web not JSON": _flood("web", lambda n: frame(b"{%d" % n)),
    "web pings": _flood("web", lambda n: frame(b"", opcode=9)),
    "web new classes": _flood("web", lambda n: place(n, f"class{n}")),
    "web calls": _flood("web", place),
    "mgmt new paths": Kind("mgmt", connect_again, (GET, 16)),
    "mgmt silent": Kind("mgmt", connect_again, (b"", 100)),
}
# Clients that leave while much of what they wrote is unread.
LEAVING = {
    "sip 400 set-ups, leaves after 20 ms": Kind(
        "sip",
        write_and_leave,
        (lambda first: b"".join(invite(n, call_class="x") for n in range(first, first + 400)), 0.02),
    ),
    "sip 400 set-ups, leaves at once": Kind(
        "sip",
        write_and_leave,
        (lambda first: b"".join(invite(n, call_class="x") for n in range(first, first + 400)), 0.0),
    ),
    "sip 400 set-ups of 60 ms": Kind(
        "sip",
        write_and_leave,
        (
            lambda first: b"".join(invite(n, call_class="x", timeout=60) for n in range(first, first + 400)),
            0.3,
        ),
    ),
    "web 400 set-ups, leaves after 20 ms": Kind(
        "web",
        write_and_leave,
        (lambda first: b"".join(place(n) for n in range(first, first + 400)), 0.02, True),
    ),
}
KINDS = SLOW | FLOODS | LEAVING


# usual clients


@dataclass
class Usual:
    """The requests of one usual client: which were answered, and how late."""

    answers: dict = field(default_factory=dict)  # by number; "": none yet
    sent_at: dict = field(default_factory=dict)
    slowest_ms: float = 0.0

    def sent(self, number):
        self.answers[number] = ""
        self.sent_at[number] = time.monotonic()

    def answered(self, number, answer):
        if not self.answers.get(number, "x"):
            self.answers[number] = answer
            self.slowest_ms = max(self.slowest_ms, 1000 * (time.monotonic() - self.sent_at[number]))

    @property
    def unanswered(self):
        return sum(not answer for answer in self.answers.values())

    def count(self, answer):
        return sum(a == answer for a in self.answers.values())


class UnfairPlay:
    """A softswitch process with a memory limit, two engines, usual clients on each front, and greedy ones."""

    def __init__(self, memory_mb, sockets, answer_after=0.0, **stage):
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.memory_mb, self.answer_after = memory_mb, answer_after
        self.stage = Stage(engines=2, config={"limits": limits}, **stage)
        self.usual = {front: Usual() for front in ("sip", "web", "mgmt")}
        self.crowds, self.answers_due = [], []
        self.peak_mb, self.own_stall_ms, self.alive = 0.0, 0.0, True
        self.setups = {}  # by call: when an engine received its first set-up
        self.next_number = 0
        self.management = {}  # sockets of the management requests that are not answered: number

    def __enter__(self):
        self.stage.__enter__()
        self.stage.hook = self._message
        return self

    def __exit__(self, *_):
        for crowd in self.crowds:
            crowd.kill()
            crowd.join()
        for sock in self.management:
            sock.close()
        self.stage.__exit__()

    def _message(self, name, message):
        if name[0] == "e" and message.startswith("SET_UP"):
            call = message.split()[1]
            self.setups.setdefault(call, time.monotonic())
            self.answers_due.append((time.monotonic() + self.answer_after, name, call))
        elif name[0] == "c" and (found := re.match(r"SIP/2.0 (\d+) .*Call-ID: ([0-9a-f]+).*INVITE", message)):
            self.usual["sip"].answered(int(found[2], 16) - FIRST_USUAL_ID, found[1])
        elif name[0] == "w":
            event = json.loads(message) if message.startswith("{") else {}
            if event.get("event") in ("stands", "turned_away", "error") and event.get("id"):
                number = int(event["id"], 16) - 2 * FIRST_USUAL_ID
                self.usual["web"].answered(number, event.get("code", event["event"]))

    def start(self, kind, seconds):
        """Starts a greedy client."""
        address = {"sip": self.stage.sip, "web": self.stage.web, "mgmt": self.stage.mgmt}[kind.front]
        arguments = (address, time.monotonic() + seconds, *kind.arguments)
        self.crowds.append(get_context("fork").Process(target=kind.function, args=arguments, daemon=True))
        self.crowds[-1].start()

    def _place_usual(self):
        self.next_number += 1
        number = self.next_number
        for name in ("c0", "w0"):
            if name not in self.stage.parties or self.stage.parties[name].sock.fileno() < 0:
                self.stage.parties.pop(name, None)
        with suppress(OSError, AssertionError):
            self.usual["sip"].sent(number)
            data = invite(FIRST_USUAL_ID + number, call_class="x", timeout=PATIENCE)
            self.stage.party("c0").sock.sendall(data)
        with suppress(OSError, AssertionError):
            self.usual["web"].sent(number)
            self.stage.party("w0").sock.sendall(place(2 * FIRST_USUAL_ID + number))
        with suppress(OSError):
            self.usual["mgmt"].sent(number)
            sock = socket.create_connection(self.stage.mgmt, CONNECT_TIMEOUT)
            sock.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: m\r\n\r\n")
            sock.setblocking(False)
            self.management[sock] = number

    def _serve(self):
        started_at = time.monotonic()
        with suppress(ConnectionError):
            self.stage.pump(0.005)
        while self.answers_due and self.answers_due[0][0] <= time.monotonic():
            _, name, call = self.answers_due.pop(0)
            with suppress(OSError, KeyError):
                self.stage.parties[name].send(f"ANSWER {call} 33=d")
        for sock, number in list(self.management.items()):
            try:
                data = sock.recv(4_096)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if data:
                self.usual["mgmt"].answered(number, data[9:12].decode())
            sock.close()
            del self.management[sock]
        self.peak_mb = max(self.peak_mb, own_memory_mb(self.stage.program.pid))
        self.own_stall_ms = max(self.own_stall_ms, 1000 * (time.monotonic() - started_at))

    def run(self, seconds):
        """Serves the engines and the usual clients for this time."""
        until = next_at = time.monotonic()
        until += seconds
        while time.monotonic() < until:
            if time.monotonic() >= next_at:
                self._place_usual()
                next_at += USUAL_INTERVAL
            self._serve()

    def finish(self):
        """Waits for the answers that are left."""
        until = time.monotonic() + ANSWER_TIMEOUT
        while any(usual.unanswered for usual in self.usual.values()) and time.monotonic() < until:
            self._serve()
        self.alive = self.stage.program.poll() is None

    def faults(self):
        """What is wrong: the process killed or over its memory, or usual clients not answered in time."""
        found = [] if self.alive else ["ended"]
        if self.peak_mb > self.memory_mb:
            found.append(f"{self.peak_mb:.1f} of {self.memory_mb} MB")
        for front, usual in self.usual.items():
            if usual.unanswered:
                found.append(f"{front}: {usual.unanswered} of {len(usual.answers)} unanswered")
            if usual.slowest_ms > PATIENCE + OWN_LAG + self.own_stall_ms:
                found.append(f"{front}: {usual.slowest_ms:.0f} ms")
        return found

    def rejected(self):
        """How many requests of each usual client were answered otherwise than served."""
        served = {"sip": "200", "web": "stands", "mgmt": "200"}
        return {f: len(u.answers) - u.unanswered - u.count(served[f]) for f, u in self.usual.items()}
