"""Runs a softswitch process with fake peers, and scenarios in a small language that drive the peers.

A scenario consists of lines `PARTY VERB ARGUMENTS`, which are run in order.

Parties: c* are callers' SIP connections, w* WebSocket clients of the call-control API and m* management
connections; they connect on first use. e* are quote engines, b and b2 endpoint watch servers; the softswitch
connects to them, and the name means its newest connection. p is the softswitch process.

Verbs:
    send ARGUMENTS      sends a message; the `send` method of the party's class describes the arguments.
                        `p send SIGTERM` sends a signal.
    expect PATTERN      waits up to 5 s for the party's next message; this regular expression must match it.
                        `p expect 0` waits until the process exits with status 0.
    expect nothing MS   requires that the party receives no message within this time.
    wait MS             lets this time pass, while the messages of all parties are received.
    close               closes the party's connection.
    p config b2         replaces the watch server in the configuration and sends SIGHUP; `p config TEXT`
                        replaces the whole file.

Calls are numbered from 1; `{1}` is replaced by the id of call 1, 16 hexadecimal digits. Received messages are
compared in this form:
    SIP                 the lines joined by `|`, then `||` and the body
    WebSocket           the JSON text, or `closed CODE`
    management          `200 - BODY`, where `-` is the Allow header if there is one
    engine              `SET_UP ID CODE=VALUE ..`, by MESSAGE_NAMES and parameter codes: 3 class, 5 ms until
                        the caller gives up, 11 called number, 17 note, 19 ms without further setups, 21 load
                        report, 31 cause, 33 description. HEARD acknowledges a release and is only recorded.
    watch server        `after N`, the request for the events after revision N
    any                 `end` after the softswitch has closed the connection
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

MESSAGE_NAMES = {
    1: "SET_UP",
    6: "PROGRESS",
    9: "ANSWER",
    12: "RELEASE",
    16: "HEARD",
    43: "STATE",
    52: "TEST",
    53: "TESTED",
}
MESSAGE_TYPES = {name: code for code, name in MESSAGE_NAMES.items()}
STATES = {"ready": 0, "draining": 1, "gone": 2}
ROOT = Path(__file__).parents[2]
TIMEOUT = 5.0  # s for an `expect`


def call_id(n):
    return f"{int(n):016x}"


def format_address(address):
    return f"{address[0]}:{address[1]}"


def listener(host):
    sock = socket.socket()
    sock.bind((host, 0))
    sock.listen(64)
    return sock


def complete_messages(party, data):
    """Yields head and body of each complete SIP or HTTP message in the received data."""
    party.data += data
    while (head := party.data.partition(b"\r\n\r\n"))[1]:
        size = int(re.search(rb"(?i)content-length: *(\d+)", head[0])[1])
        if len(head[2]) < size:
            break
        party.data = head[2][size:]
        yield head[0], head[2][:size]


class Sip:
    """The SIP connection of a caller."""

    def __init__(self, stage, sock):
        self.sock, self.data, self.received = sock, b"", []

    def feed(self, data):
        for head, body in complete_messages(self, data):
            yield (head + b"||" + body).decode("latin-1").replace("\r\n", "|")

    def send(self, words):
        """Sends `INVITE 1 X-Patience=900 body=..`, `CANCEL 1`, `BYE 1`, `OK 1` (to a BYE) or `raw TEXT`."""
        method, _, rest = words.partition(" ")
        if method == "OK":
            lines = "SIP/2.0 200 OK", f"Call-ID: {call_id(rest)}", "CSeq: 2 BYE", "Content-Length: 0", "", ""
            return self.sock.sendall("\r\n".join(lines).encode())
        if method == "raw":
            return self.sock.sendall(rest.encode().decode("unicode_escape").encode("latin-1"))
        n, *more = (rest or "0").split(" ")
        fields = dict(m.split("=", 1) for m in more)
        body, number = fields.pop("body", "v=0"), fields.pop("number", "77")
        head = {"Call-ID": call_id(n), "CSeq": f"1 {method}", "Via": "SIP/2.0/TCP peer"}
        if method == "INVITE":
            head |= {"Subject": "x", "X-Patience": "3000", "X-Facts": "dest:0;width:1;via:-1"} | fields
        else:
            body, head = "", head | fields
        lines = [f"{method} sip:{number}@net SIP/2.0", *(f"{k}: {v}" for k, v in head.items())]
        self.sock.sendall("\r\n".join((*lines, f"Content-Length: {len(body)}", "", body)).encode("latin-1"))
        return None


class WebSocketClient:
    """A WebSocket connection to the call-control API."""

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
        """Sends `DO 1 KEY=JSON ..`, a message for call 1 with default fields, or `raw TEXT`, unchanged."""
        action, _, rest = words.partition(" ")
        if action != "raw":
            message = {"v": 1, "do": action, "id": call_id(rest.split(" ")[0])}
            if action == "place":
                message |= {"class": "x", "number": "77", "patience_ms": 3000, "dest": 0}
                message["description_b64"] = "dj0w"
            message |= {k: json.loads(v) for k, v in (m.split("=", 1) for m in rest.split(" ")[1:])}
            rest = json.dumps(message)
        self.sock.sendall(self.ws.send(TextMessage(data=rest)))


class Operator:
    """A connection to the management address. Sends `GET /v1/readyz` or `raw TEXT`, receives `200 - {..}`."""

    def __init__(self, stage, sock):
        self.sock, self.received, self.data = sock, [], b""

    def feed(self, data):
        for head, body in complete_messages(self, data):
            allow = re.search(rb"Allow: \w+", head)
            yield b" ".join((head.split()[1], allow[0] if allow else b"-", body)).decode()

    def send(self, words):
        if words.startswith("raw "):
            words = words[4:].encode().decode("unicode_escape")
        else:
            words = f"{words} HTTP/1.1\r\nHost: m\r\n\r\n"
        self.sock.sendall(words.encode("latin-1"))


class Engine:
    """A quote engine's end of a connection that the softswitch opened to it.

    Sends `RELEASE 1 31=16`: a message name, a call and parameters by code. A load report is sent on connect.
    """

    def __init__(self, stage, sock):
        self.sock, self.data, self.received, self.numbers = sock, b"", [], {}
        self.acknowledged = []  # ids of the calls whose releases were acknowledged
        self.send("STATE 0 21=x0:1000;x1:1000")

    def feed(self, data):
        self.data += data
        while len(self.data) >= 2 and len(self.data) >= (size := struct.unpack(">H", self.data[:2])[0]) + 2:
            message_type, call, rest = self.data[2], self.data[3:11].hex(), self.data[11 : size + 2]
            self.data, words = self.data[size + 2 :], [MESSAGE_NAMES[message_type], call]
            while rest:
                code, length = struct.unpack(">BH", rest[:3])
                value, rest = rest[3 : 3 + length], rest[3 + length :]
                words.append(f"{code}={value[0] if code == 31 else value.decode('latin-1')}")
            if message_type == MESSAGE_TYPES["HEARD"]:
                self.acknowledged.append(call)
            else:
                yield " ".join(words)

    def send(self, words):
        message_name, n, *more = words.split(" ")
        message = struct.pack(">B", MESSAGE_TYPES[message_name]) + bytes.fromhex(
            n if len(n) == 16 else call_id(n)
        )
        for code, value in (m.split("=", 1) for m in more):
            value = bytes((int(value),)) if code == "31" else value.encode("latin-1")
            message += struct.pack(">BH", int(code), len(value)) + value
        self.sock.sendall(struct.pack(">H", len(message)) + message)


class WatchServer:
    """The watch server's end of a connection that the softswitch opened to it."""

    def __init__(self, stage, sock):
        self.stage, self.sock, self.received, self.data, self.next_keepalive_at = stage, sock, [], b"", 0.0

    def send_keepalive(self):
        """Sends an event without changes once a second, as the watch server does."""
        if time.monotonic() >= self.next_keepalive_at and self.sock.fileno() >= 0:
            self.next_keepalive_at = time.monotonic() + 1.0
            try:
                self.sock.sendall(struct.pack(">IQB", 9, 0, 0))
            except ConnectionError:
                pass  # the softswitch has closed this connection and reconnects; `pump` detects the close

    def feed(self, data):
        self.data += data
        while len(self.data) >= 8:
            yield f"after {int.from_bytes(self.data[:8], 'big')}"
            self.data = self.data[8:]

    def send(self, words):
        """Sends `REVISION draining e1`, a change of the endpoint list, or `raw - HEX`, bytes."""
        revision, state, name = words.split(" ")
        if revision == "raw":
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
        frame = struct.pack(">QB", int(revision), 2) + record
        self.sock.sendall(struct.pack(">I", len(frame)) + frame)
        return None


class Stage:
    """A softswitch process and its fake peers."""

    def __init__(
        self, engines=2, settings=None, control="", config=None, env=None, command=("-m", "softswitch")
    ):
        # An address for this test only: a softswitch that connects to the port of a closed peer must not
        # reach a peer of another test.
        self.host = own_host()
        self.listeners = {
            name: listener(self.host) for name in (*(f"e{n}" for n in range(engines)), "b", "b2")
        }
        self.command = command
        self.parties, self.hook, self.dir = {}, None, tempfile.TemporaryDirectory()
        reserved = [listener(self.host) for _ in range(3)]  # to choose free ports
        self.sip, self.web, self.mgmt = (s.getsockname() for s in reserved)
        for s in reserved:
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
        document = {
            "name": "n0",
            "listen": format_address(self.sip),
            "seed": "1f",
            "mgmt": format_address(self.mgmt),
            "board": format_address(self.listeners["b"].getsockname()),
            "settings": INFO | (settings or {}),
            "known": {"rev": 3, "notices": [{"rev": 3, "pool": {"whole": True, "hosts": hosts}}]},
        }
        self.config = Path(self.dir.name, "config.json")
        self.config_document = document | (config or {})
        self.config.write_text(json.dumps(self.config_document))
        toml = Path(self.dir.name, "control.toml")
        toml.write_text(f'listen = "{format_address(self.web)}"\n{control}')
        self.log = open(Path(self.dir.name, "log"), "w+")
        base_env = os.environ | {"BALANCER_CONFIG": str(self.config), "SOFTSWITCH_CONTROL": str(toml)}
        self.env = base_env | (env or {})
        self.start()

    def start(self, env=None):
        """Starts a softswitch process, in addition to a running one."""
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
        for sock in self.listeners.values():
            sock.close()
        self.log.close()
        self.dir.cleanup()

    def log_text(self):
        """The log of the softswitch so far."""
        return Path(self.log.name).read_text()

    def party(self, name, **more):
        """The party of this name, or None for an e* or b* that the softswitch has not connected to yet."""
        if name not in self.parties and name[0] in "cwm":
            until = time.monotonic() + TIMEOUT
            address = {"c": self.sip, "w": self.web, "m": self.mgmt}[name[0]]
            while True:
                try:
                    sock = socket.create_connection(address)
                    break
                except ConnectionRefusedError:
                    assert time.monotonic() < until and self.program.poll() is None, self.log_text()
                    time.sleep(0.02)
            party_class = {"c": Sip, "w": WebSocketClient, "m": Operator}[name[0]]
            party = self.parties[name] = party_class(self, sock, **more)
            while name[0] == "w" and party.ws.state is ConnectionState.CONNECTING:
                assert time.monotonic() < until, self.log_text()
                self.pump(0.1)
        return self.parties.get(name)

    def pump(self, seconds):
        """Waits up to this time for data on any socket, and processes what can be read then.

        Messages are appended to their party's `received`; if `hook` is set, they are passed to it instead.
        """
        for name in {"b", "b2"} & set(self.parties):
            self.parties[name].send_keepalive()
        open_ = {p.sock: (name, p) for name, p in self.parties.items() if p.sock.fileno() >= 0}
        listening = {s: name for name, s in self.listeners.items() if s.fileno() >= 0}
        # Messages received on connections that end in this round, passed on to a new connection of the same
        # party.
        ended = {}
        for sock in select.select([*open_, *listening], [], [], seconds)[0]:
            if sock in listening:
                name = listening[sock]
                self.parties[name] = (WatchServer if name[0] == "b" else Engine)(self, sock.accept()[0])
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

    def next(self, name, seconds=TIMEOUT):
        """The next message of a party, or None if none is received in time."""
        until = time.monotonic() + seconds
        while not (self.party(name) and self.party(name).received):
            remaining = until - time.monotonic()
            if remaining <= 0:
                return None
            self.pump(min(remaining, 0.5))
        return self.party(name).received.pop(0)

    def play(self, scenario):
        """Runs a scenario; see the module docstring."""
        for line in filter(None, map(str.strip, scenario.splitlines())):
            name, verb, *rest = line.split(" ", 2)
            rest = re.sub(r"\{(\d+)\}", lambda m: call_id(m[1]), rest[0] if rest else "")
            if verb == "wait":
                until = time.monotonic() + float(rest) / 1000
                while (remaining := until - time.monotonic()) > 0:
                    self.pump(min(remaining, 0.5))
            elif verb == "close":
                self.parties.pop(name).sock.close()
            elif name == "p" and verb == "config":  # a watch server, or the text of the whole file
                watch_server = self.listeners.get(rest) and {
                    "board": format_address(self.listeners[rest].getsockname())
                }
                self.config.write_text(
                    json.dumps(self.config_document | watch_server) if watch_server else rest
                )
                self.program.send_signal(signal.SIGHUP)
            elif name == "p" and verb == "send":
                self.program.send_signal(getattr(signal, rest))
            elif name == "p":
                assert self.program.wait(TIMEOUT) == int(rest), self.log_text()
            elif verb == "send":
                until = time.monotonic() + TIMEOUT
                while self.party(name) is None and time.monotonic() < until:
                    self.pump(0.05)
                self.party(name).send(rest)
            elif rest.startswith("nothing"):
                message = self.next(name, float(rest.split()[1]) / 1000)
                assert message is None, f"{line}: {message!r}"
            else:
                message = self.next(name)
                assert message is not None and re.search(rest, message), (
                    f"{line}: {message!r}\n{self.log_text()}"
                )
