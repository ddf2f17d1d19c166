"""Greedy peers of a softswitch process, a usual caller beside them, and the memory that the process takes.

Each attack has a crowd of greedy clients, in a process of its own: engines, watch server and the usual caller
are served here meanwhile.
"""

import re
import selectors
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from multiprocessing import get_context
from pathlib import Path

from support.harness import Stage, format_address
from support.sip_bench import invite

USUAL_INTERVAL = 0.2  # s between two calls of the usual caller
PATIENCE = 3_000  # ms
OWN_LAG = 500  # ms by which this process, which runs the engines too, may read an answer late
ANSWER_TIMEOUT = 15.0  # s
USUAL_ID = 1 << 40  # ids of the usual caller's calls count from here
FREE_HEADER = "User-Agent: " + "x" * 15_000
LONG_VIA = "Via: SIP/2.0/TCP " + "v" * 15_000
LONG_DESCRIPTION = b"d" * 15_000


def own_memory_mb(process_id):
    """Memory of a process that no other can share: its own pages, without those of files and libraries."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0  # it has ended


@dataclass
class Outcome:
    """What a play has shown."""

    idle_mb: float = 0.0
    peak_mb: float = 0.0  # of all processes of the softswitch together
    alive: bool = True
    usual: dict = field(default_factory=dict)  # answer codes of the usual caller by call number; 0: none yet
    slowest_ms: float = 0.0  # of the usual caller's answers
    own_stall_ms: float = 0.0  # longest time in which this process, which runs the engines too, read nothing
    log: str = ""

    @property
    def unanswered(self):
        return [n for n, code in self.usual.items() if not code]

    @property
    def in_time(self):
        """Whether each answer reached the usual caller before it stopped waiting."""
        return not self.unanswered and self.slowest_ms <= PATIENCE + OWN_LAG + self.own_stall_ms

    @property
    def served(self):
        return sum(code == 200 for code in self.usual.values())


@dataclass
class GreedyClient:
    """A connection that writes its data as fast as it is taken, and may leave what it is sent unread."""

    make_data: Callable[[], bytes]  # called in the crowd's process
    reads: bool = True
    closes: bool = False  # whether the connection is closed once it was answered


class CrowdConnection:
    """The connection of one greedy client."""

    def __init__(self, address, client, selector):
        self.left, self.reads, self.closes = memoryview(client.make_data()), client.reads, client.closes
        self.selector = selector
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)
        selector.register(self.sock, selectors.EVENT_WRITE, self)

    def ready(self, events):
        """Writes and reads what is possible; closes the socket once its peer has closed it."""
        try:
            if events & selectors.EVENT_READ and (not self.sock.recv(65_536) or self.closes):
                raise ConnectionError
            if events & selectors.EVENT_WRITE:
                self.left = self.left[self.sock.send(self.left) :]
        except BlockingIOError:
            return
        except OSError:
            self.selector.unregister(self.sock)
            self.sock.close()
            return
        wanted = (selectors.EVENT_WRITE if self.left else 0) | (selectors.EVENT_READ if self.reads else 0)
        if wanted:
            self.selector.modify(self.sock, wanted, self)
        else:
            self.selector.unregister(self.sock)  # it stays open


def run_crowd(address, clients):
    """Runs greedy clients until the process is killed."""
    selector = selectors.DefaultSelector()
    connections = [CrowdConnection(address, client, selector) for client in clients]
    while connections:
        for key, events in selector.select(1.0):
            key.data.ready(events)


class Play:
    """A softswitch process with a memory limit, two engines, a usual caller, and greedy peers."""

    def __init__(self, memory_mb, sockets, answer=b"d", **stage):
        self.memory_mb = memory_mb
        self.answer = answer.decode("latin-1")
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.stage = Stage(engines=2, config={"limits": limits}, **stage)
        self.stage.hook = self._message
        self.programs = [self.stage.program]
        self.crowds = []
        self.outcome = Outcome()
        self.engine_answers = True
        self._sent_at = {}
        self._next_call = 0

    def __enter__(self):
        self.stage.hook, hook = None, self.stage.hook
        self.stage.__enter__()
        self.stage.hook = hook
        self.outcome.idle_mb = self._measure()
        return self

    def __exit__(self, *_):
        for crowd in self.crowds:
            crowd.kill()
            crowd.join()
        for program in self.programs:
            program.kill()
            program.wait()
        self.stage.__exit__()

    def _message(self, name, message):
        if name[0] == "e" and message.startswith("SET_UP"):
            if self.engine_answers:
                with suppress(OSError):
                    self.stage.parties[name].send(f"ANSWER {message.split()[1]} 33={self.answer}")
        elif name == "c0" and (found := re.match(r"SIP/2.0 (\d+) .*Call-ID: ([0-9a-f]+).*INVITE", message)):
            number = int(found[2], 16) - USUAL_ID
            self.outcome.usual[number] = int(found[1])
            elapsed = 1000 * (time.monotonic() - self._sent_at[number])
            self.outcome.slowest_ms = max(self.outcome.slowest_ms, elapsed)

    def _measure(self):
        used = sum(own_memory_mb(program.pid) for program in self.programs if program.poll() is None)
        self.outcome.peak_mb = max(self.outcome.peak_mb, used)
        return used

    def start_crowd(self, clients):
        """Starts greedy clients, in a process of their own, so that they slow down nobody else."""
        arguments = (self.stage.sip, clients)
        self.crowds.append(get_context("fork").Process(target=run_crowd, args=arguments, daemon=True))
        self.crowds[-1].start()

    def start_second_process(self):
        """Starts a process that replaces the first one."""
        with socket.create_server((self.stage.host, 0)) as reserved:
            management = format_address(reserved.getsockname())
        self.programs.append(self.stage.start({"BALANCER_MGMT": management}))

    def _place_usual_call(self):
        number = self._next_call
        self._next_call += 1
        self.outcome.usual[number] = 0
        self._sent_at[number] = time.monotonic()
        if "c0" not in self.stage.parties or self.stage.parties["c0"].sock.fileno() < 0:
            self.stage.parties.pop("c0", None)
            self.stage.party("c0")
        with suppress(OSError):
            self.stage.parties["c0"].sock.sendall(invite(USUAL_ID + number, call_class="x", timeout=PATIENCE))

    def run(self, seconds):
        """Serves the engines and measures for this time, with a usual caller's calls."""
        until = time.monotonic() + seconds
        next_call_at = time.monotonic()
        while time.monotonic() < until:
            if time.monotonic() >= next_call_at:
                self._place_usual_call()
                next_call_at += USUAL_INTERVAL
            self._serve()

    def _serve(self):
        started_at = time.monotonic()
        with suppress(ConnectionError):  # a peer that is gone is no fault here
            self.stage.pump(0.01)
        stall = 1000 * (time.monotonic() - started_at)
        self.outcome.own_stall_ms = max(self.outcome.own_stall_ms, stall)
        self._measure()

    def finish(self):
        """Waits until the usual caller's calls are answered, however late; returns the outcome."""
        until = time.monotonic() + ANSWER_TIMEOUT
        while self.outcome.unanswered and time.monotonic() < until:
            self._serve()
        self.outcome.alive = all(program.poll() is None for program in self.programs)
        self.outcome.log = self.stage.log_text()
        return self.outcome


def setups(first, count, *headers, body=b"v=0", timeout=PATIENCE):
    """Returns INVITEs with consecutive ids, written one after the other."""
    numbers = range(first, first + count)
    return b"".join(invite(n, *headers, body=body, call_class="x", timeout=timeout) for n in numbers)


def open_setups(play, *headers, body=b"v=0", clients=8, count=900):
    """Many set-ups at once on a few connections."""
    play.start_crowd(
        [GreedyClient(partial(setups, 1 + n * 100_000, count, *headers, body=body)) for n in range(clients)]
    )


def silent_open_setups(play, *headers, body=b"v=0", clients=8, count=900):
    """The same, while the engines answer nothing."""
    play.engine_answers = False
    open_setups(play, *headers, body=body, clients=clients, count=count)


def incomplete_messages(play, *headers, clients=900):
    """Half-written messages, on as many connections as the softswitch takes."""
    play.start_crowd([GreedyClient(partial(_cut_short, 1 + n, *headers)) for n in range(clients)])


def _cut_short(n, *headers):
    return invite(n, *headers, call_class="x")[:-20]


def many_short_headers(play, clients=900):
    """Half-written messages of thousands of headers."""
    incomplete_messages(play, *(f"h{n:x}:" for n in range(2_000)), clients=clients)


def long_incomplete_messages(play):
    """Half-written messages of one long header."""
    incomplete_messages(play, FREE_HEADER)


def unread_answers(play, clients=100, count=70):
    """Clients that read none of the answers to their set-ups, each with a long Via."""
    play.start_crowd(
        [GreedyClient(partial(setups, 1 + n * 100_000, count, LONG_VIA), reads=False) for n in range(clients)]
    )


def cancelled_setups(play, clients=8, count=4_000):
    """Set-ups with the longest patience that are taken back at once."""
    play.start_crowd([GreedyClient(partial(_taken_back, 1 + n * 100_000, count)) for n in range(clients)])


def calls_on_new_connections(play, connections=1_200):
    """Clients that connect, have one call set up, and close."""
    play.start_crowd([GreedyClient(partial(setups, 1 + n, 1), closes=True) for n in range(connections)])


def unknown_releases(play, count=20_000):
    """Engines that release calls that nobody has set up, as fast as they can, and read nothing."""
    message = struct.pack(">HB8sBHB", 13, 12, b"unknown.", 31, 1, 16)
    for name in ("e0", "e1"):
        engine = play.stage.parties[name]
        engine.sock.setblocking(False)
        with suppress(OSError):
            engine.sock.sendall(message * count)
        engine.sock.setblocking(True)


def _taken_back(first, count):
    return b"".join(
        invite(n, call_class="x", timeout=600_000)
        + f"CANCEL sip:77@net SIP/2.0\r\nCall-ID: {n:016x}\r\nCSeq: 1 CANCEL\r\n".encode()
        + b"Content-Length: 0\r\n\r\n"
        for n in range(first, first + count)
    )
