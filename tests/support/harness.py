"""A running softswitch among stand-ins, and the small language in which the network tests speak to them.

A scenario is lines of `PARTY VERB REST`. Parties: c* SIP connections, w* WebSockets, m* operators, e* quote
engines, b and b2 boards, p the program. Verbs: send, expect (a pattern for its next message, or `nothing
MS`), close, wait; `p config b2`, or with a text, replaces the configuration and sends SIGHUP.
Calls are short numbers; `{1}` stands for the id of call 1.
"""

import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from wsproto import ConnectionType, WSConnection
from wsproto.connection import ConnectionState
from wsproto.events import CloseConnection, Ping, RejectConnection, Request, TextMessage

from softswitch.standin.addresses import own_host
from support.settings import INFO

KINDS = {
    1: "SET_UP",
    6: "PROGRESS",
    9: "ANSWER",
    12: "RELEASE",
    16: "HEARD",
    43: "STATE",
    52: "TEST",
    53: "TESTED",
}
CODES = {name: code for code, name in KINDS.items()}
STATES = {"ready": 0, "draining": 1, "gone": 2}
ROOT = Path(__file__).parents[2]
PATIENCE = 5.0  # s that an `expect` waits


def call_id(n):
    return f"{int(n):016x}"


def format_address(address):
    return f"{address[0]}:{address[1]}"


def listener(host):
    s = socket.socket()
    s.bind((host, 0))
    s.listen(64)
    return s


def framed(party, data):
    """Heads and bodies of the messages that are whole by now, SIP's or HTTP's."""
    party.data += data
    while (head := party.data.partition(b"\r\n\r\n"))[1]:
        size = int(re.search(rb"(?i)content-length: *(\d+)", head[0])[1])
        if len(head[2]) < size:
            break
        party.data = head[2][size:]
        yield head[0], head[2][:size]


class Sip:
    """One caller's connection."""

    def __init__(self, stage, sock):
        self.sock, self.data, self.received = sock, b"", []

    def feed(self, data):
        for head, body in framed(self, data):
            yield (head + b"||" + body).decode("latin-1").replace("\r\n", "|")

    def send(self, words):
        """`INVITE 1 X-Patience=900 body=..`, `CANCEL 1`, `BYE 1`, `OK 1` (to a BYE), `raw TEXT` (escapes)."""
        kind, _, rest = words.partition(" ")
        if kind == "OK":
            lines = "SIP/2.0 200 OK", f"Call-ID: {call_id(rest)}", "CSeq: 2 BYE", "Content-Length: 0", "", ""
            return self.sock.sendall("\r\n".join(lines).encode())
        if kind == "raw":
            return self.sock.sendall(rest.encode().decode("unicode_escape").encode("latin-1"))
        n, *more = (rest or "0").split(" ")
        fields = dict(m.split("=", 1) for m in more)
        body, number = fields.pop("body", "v=0"), fields.pop("number", "77")
        head = {"Call-ID": call_id(n), "CSeq": f"1 {kind}", "Via": "SIP/2.0/TCP peer"}
        if kind == "INVITE":
            head |= {"Subject": "x", "X-Patience": "3000", "X-Facts": "dest:0;width:1;via:-1"} | fields
        else:
            body, head = "", head | fields
        lines = [f"{kind} sip:{number}@net SIP/2.0", *(f"{k}: {v}" for k, v in head.items())]
        self.sock.sendall("\r\n".join((*lines, f"Content-Length: {len(body)}", "", body)).encode("latin-1"))
        return None


class Desk:
    """One WebSocket client."""

    def __init__(self, stage, sock, path="/v1/calls", origin=None):
        self.sock, self.received, self.ws, self.text = sock, [], WSConnection(ConnectionType.CLIENT), ""
        headers = [(b"Origin", origin.encode())] if origin else []
        sock.sendall(self.ws.send(Request(host="x", target=path, extra_headers=headers)))

    def feed(self, data):
        self.ws.receive_data(data)
        for event in self.ws.events():
            if isinstance(event, TextMessage):
                self.text += event.data
                if event.message_finished:
                    yield self.text
                    self.text = ""
            elif isinstance(event, CloseConnection | RejectConnection):
                yield f"closed {getattr(event, 'code', None) or event.status_code}"
            elif isinstance(event, Ping):
                self.sock.sendall(self.ws.send(event.response()))

    def send(self, words):
        """A message as it stands, with `"v":1` put in and call numbers made ids; `raw TEXT` untouched."""
        kind, _, rest = words.partition(" ")
        if kind != "raw":
            said = {"v": 1, "do": kind, "id": call_id(rest.split(" ")[0])}
            if kind == "place":
                said |= {"class": "x", "number": "77", "patience_ms": 3000, "dest": 0}
                said["description_b64"] = "dj0w"
            said |= {k: json.loads(v) for k, v in (m.split("=", 1) for m in rest.split(" ")[1:])}
            rest = json.dumps(said)
        self.sock.sendall(self.ws.send(TextMessage(data=rest)))


class Operator:
    """One connection to the management address: `GET /v1/readyz`, or `raw TEXT`. Heard as `200 {..}`."""

    def __init__(self, stage, sock):
        self.sock, self.received, self.data = sock, [], b""

    def feed(self, data):
        for head, body in framed(self, data):
            allow = re.search(rb"Allow: \w+", head)
            yield b" ".join((head.split()[1], allow[0] if allow else b"-", body)).decode()

    def send(self, words):
        if words.startswith("raw "):
            words = words[4:].encode().decode("unicode_escape")
        else:
            words = f"{words} HTTP/1.1\r\nHost: m\r\n\r\n"
        self.sock.sendall(words.encode("latin-1"))


class Engine:
    """The connection that a softswitch opened to a quote engine."""

    def __init__(self, stage, sock):
        self.sock, self.data, self.received, self.numbers = sock, b"", [], {}
        self.acknowledged = []  # releases of this engine, by the ids of their calls
        self.send("STATE 0 21=x0:1000;x1:1000")

    def feed(self, data):
        self.data += data
        while len(self.data) >= 2 and len(self.data) >= (size := struct.unpack(">H", self.data[:2])[0]) + 2:
            kind, call, rest = self.data[2], self.data[3:11].hex(), self.data[11 : size + 2]
            self.data, words = self.data[size + 2 :], [KINDS[kind], call]
            while rest:
                code, n = struct.unpack(">BH", rest[:3])
                value, rest = rest[3 : 3 + n], rest[3 + n :]
                words.append(f"{code}={value[0] if code == 31 else value.decode('latin-1')}")
            if kind == CODES["HEARD"]:
                self.acknowledged.append(call)
            else:
                yield " ".join(words)

    def send(self, words):
        kind, n, *more = words.split(" ")
        said = struct.pack(">B", CODES[kind]) + bytes.fromhex(n if len(n) == 16 else call_id(n))
        for code, value in (m.split("=", 1) for m in more):
            value = bytes((int(value),)) if code == "31" else value.encode("latin-1")
            said += struct.pack(">BH", int(code), len(value)) + value
        self.sock.sendall(struct.pack(">H", len(said)) + said)


class Board:
    """The softswitch's connection to the notice board."""

    def __init__(self, stage, sock):
        self.stage, self.sock, self.received, self.data, self.due = stage, sock, [], b"", 0.0

    def beat(self):
        """An empty frame each second, as a board sends it."""
        if time.monotonic() >= self.due and self.sock.fileno() >= 0:
            self.due = time.monotonic() + 1.0
            try:
                self.sock.sendall(struct.pack(">IQB", 9, 0, 0))
            except ConnectionError:
                pass  # it took us for silent and connects anew; its end is read where all ends are

    def feed(self, data):
        self.data += data
        while len(self.data) >= 8:
            yield f"after {int.from_bytes(self.data[:8], 'big')}"
            self.data = self.data[8:]

    def send(self, words):
        """`REV draining e1`: a change; `raw HEX`."""
        rev, state, name = words.split(" ")
        if rev == "raw":
            return self.sock.sendall(bytes.fromhex(name))
        n = int(name[1:])
        record = struct.pack(
            ">I4sHBBBHIQ",
            n,
            socket.inet_aton(self.stage.host),
            self.stage.listeners[name].getsockname()[1],
            STATES[state],
            0,
            0,
            n,
            1000,
            0,
        )
        frame = struct.pack(">QB", int(rev), 2) + record
        self.sock.sendall(struct.pack(">I", len(frame)) + frame)
        return None


class Stage:
    def __init__(
        self, engines=2, settings=None, control="", config=None, env=None, command=("-m", "softswitch")
    ):
        # Its own: a program that still dials a port of a stand-in that has closed reaches no other's.
        self.host = own_host()
        self.listeners = {
            name: listener(self.host) for name in (*(f"e{n}" for n in range(engines)), "b", "b2")
        }
        self.command = command
        self.parties, self.hook, self.dir = {}, None, tempfile.TemporaryDirectory()
        spare = [listener(self.host) for _ in range(3)]
        self.sip, self.web, self.mgmt = (s.getsockname() for s in spare)
        for s in spare:
            s.close()
        hosts = [
            {
                "host": f"s-{n:08x}",
                "dial": format_address(self.listeners[f"e{n}"].getsockname()),
                "site": "z",
                "class": "m",
                "block": n,
                "health": "active",
                "share": 1,
                "born_ms": 0,
            }
            for n in range(engines)
        ]
        made = {
            "name": "n0",
            "listen": format_address(self.sip),
            "seed": "1f",
            "mgmt": format_address(self.mgmt),
            "board": format_address(self.listeners["b"].getsockname()),
            "settings": INFO | (settings or {}),
            "known": {"rev": 3, "notices": [{"rev": 3, "pool": {"whole": True, "hosts": hosts}}]},
        }
        self.config = Path(self.dir.name, "config.json")
        self.config_document = made | (config or {})
        self.config.write_text(json.dumps(self.config_document))
        toml = Path(self.dir.name, "control.toml")
        toml.write_text(f'listen = "{format_address(self.web)}"\n{control}')
        self.log = open(Path(self.dir.name, "log"), "w+")
        given = os.environ | {"BALANCER_CONFIG": str(self.config), "SOFTSWITCH_CONTROL": str(toml)}
        self.env = given | (env or {})
        self.start()

    def start(self, env=None):
        self.program = subprocess.Popen(
            [sys.executable, *self.command], cwd=ROOT, env=self.env | (env or {}), stderr=self.log
        )
        return self.program

    def __enter__(self):
        self.play("c9 send OPTIONS\nc9 expect 200 OK.*OPTIONS\nc9 close")
        return self

    def __exit__(self, *_):
        self.program.kill()
        self.program.wait()
        for party in self.parties.values():
            party.sock.close()
        for door in self.listeners.values():
            door.close()
        self.log.close()
        self.dir.cleanup()

    def log_text(self):
        return Path(self.log.name).read_text()

    def party(self, name, **more):
        """The party of this name; callers connect at their first use."""
        if name not in self.parties and name[0] in "cwm":
            until = time.monotonic() + PATIENCE
            address = {"c": self.sip, "w": self.web, "m": self.mgmt}[name[0]]
            while True:
                try:
                    sock = socket.create_connection(address)
                    break
                except ConnectionRefusedError:
                    assert time.monotonic() < until and self.program.poll() is None, self.log_text()
                    time.sleep(0.02)
            kind = {"c": Sip, "w": Desk, "m": Operator}[name[0]]
            party = self.parties[name] = kind(self, sock, **more)
            while name[0] == "w" and party.ws.state is ConnectionState.CONNECTING:
                assert time.monotonic() < until, self.log_text()
                self.pump(0.1)
        return self.parties.get(name)

    def pump(self, seconds):
        """Takes in what comes within this time, at most one round of it."""
        for name in {"b", "b2"} & set(self.parties):
            self.parties[name].beat()
        open_ = {p.sock: (name, p) for name, p in self.parties.items() if p.sock.fileno() >= 0}
        doors = {s: name for name, s in self.listeners.items() if s.fileno() >= 0}
        ended = {}  # what parties heard to the last whose next connection comes in the same round
        for sock in select.select([*open_, *doors], [], [], seconds)[0]:
            if sock in doors:
                name = doors[sock]
                self.parties[name] = (Board if name[0] == "b" else Engine)(self, sock.accept()[0])
                self.parties[name].received = ended.get(name, [])
                continue
            name, party = open_[sock]
            try:
                data = sock.recv(65536)
            except ConnectionError:
                data = b""
            if not data:
                sock.close()
                party.received.append("end")
                ended[name] = party.received
                continue
            for message in party.feed(data):
                if self.hook:
                    self.hook(name, message)
                else:
                    party.received.append(message)

    def next(self, name, seconds=PATIENCE):
        until = time.monotonic() + seconds
        while not (self.party(name) and self.party(name).received):
            left = until - time.monotonic()
            if left <= 0:
                return None
            self.pump(min(left, 0.5))
        return self.party(name).received.pop(0)

    def play(self, scenario):
        for line in filter(None, map(str.strip, scenario.splitlines())):
            name, verb, *rest = line.split(" ", 2)
            rest = re.sub(r"\{(\d+)\}", lambda m: call_id(m[1]), rest[0] if rest else "")
            if verb == "wait":
                until = time.monotonic() + float(rest) / 1000
                while (left := until - time.monotonic()) > 0:
                    self.pump(min(left, 0.5))
            elif verb == "close":
                self.parties.pop(name).sock.close()
            elif name == "p" and verb == "config":  # the board's door, or a text that is the whole file
                board = self.listeners.get(rest) and {
                    "board": format_address(self.listeners[rest].getsockname())
                }
                self.config.write_text(json.dumps(self.config_document | board) if board else rest)
                self.program.send_signal(signal.SIGHUP)
            elif name == "p" and verb == "send":
                self.program.send_signal(getattr(signal, rest))
            elif name == "p":
                assert self.program.wait(PATIENCE) == int(rest), self.log_text()
            elif verb == "send":
                until = time.monotonic() + PATIENCE
                while self.party(name) is None and time.monotonic() < until:
                    self.pump(0.05)
                self.party(name).send(rest)
            elif rest.startswith("nothing"):
                came = self.next(name, float(rest.split()[1]) / 1000)
                assert came is None, f"{line}: {came!r}"
            else:
                came = self.next(name)
                assert came is not None and re.search(rest, came), f"{line}: {came!r}\n{self.log_text()}"
