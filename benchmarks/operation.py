"""What daily operation costs and loses, on loopback sockets.

    python benchmarks/operation.py replace [N] [TREE]  # call setups lost in N replacements, two ways;
                                                     # with TREE each other process is that checkout's
    python benchmarks/operation.py mgmt [SECONDS]    # longest wait of a management call, softswitch saturated
    python benchmarks/operation.py memory [PAIRS]    # resident memory with the management address and without
    python benchmarks/operation.py cost TREE [PAIRS] # CPU per call against another checkout, paired

Stand-ins and callers have processes of their own. Ends all that it started.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from statistics import median

from paired import paired

ROOT = Path(__file__).resolve().parent.parent
INVITE = (
    "INVITE sip:77@net SIP/2.0\r\nVia: SIP/2.0/TCP p\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\n"
    "Subject: {}\r\nX-Patience: 3000\r\nX-Facts: dest:{};width:1;via:-1\r\nContent-Length: 3\r\n"
    "\r\nv=0"
)


def stand_ins():
    """Board and engines, for ever; prints what a softswitch's configuration needs."""
    from twisted.internet import reactor

    from softswitch.cli.demo import day
    from softswitch.standin.board import ListedEngine, WatchServer
    from softswitch.standin.engine import Engine

    made = day(10.0, 100.0, 3, 400, 1)
    engines = [Engine(reactor, e, n) for n, e in enumerate(made.engines)]
    watch_server = WatchServer(
        reactor, [ListedEngine(e.settings.name, e.listen(), e.settings.cell) for e in engines]
    )
    at = watch_server.listen()
    print(
        json.dumps(
            {
                "board": f"{at[0]}:{at[1]}",
                "known": watch_server.known(),
                "settings": made.settings(),
                "seed": "1f",
                "name": "n0",
            }
        ),
        flush=True,
    )
    reactor.run()


def free():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Bed:
    """Stand-ins, and softswitches that are started beside them."""

    def __init__(self, sockets=512, memory_mb=192):
        self.dir = tempfile.TemporaryDirectory()
        self.others = subprocess.Popen(
            [sys.executable, __file__, "stand-ins"], cwd=ROOT, stdout=subprocess.PIPE
        )
        told = json.loads(self.others.stdout.readline())
        self.at = ("127.0.0.1", free())
        told |= {"listen": f"127.0.0.1:{self.at[1]}", "limits": {"sockets": sockets, "memory_mb": memory_mb}}
        self.classes = [lane["name"] for lane in told["settings"]["lanes"]]
        self.config = Path(self.dir.name, "config.json")
        self.config.write_text(json.dumps(told))
        self.programs = []

    def start(self, mgmt=None, way="", pin=None, tree=ROOT):
        env = os.environ | {
            "PYTHONPATH": str(tree),
            "BALANCER_CONFIG": str(self.config),
            "TMPDIR": self.dir.name,
            "BALANCER_MGMT": f"127.0.0.1:{mgmt}" if mgmt else "",
            "SOFTSWITCH_HANDOVER": way,
            "WILLOWHITCH_HANDOVER": way,
        }
        package = "softswitch" if (Path(tree) / "softswitch").exists() else "willowhitch"
        with open(Path(self.dir.name, "log"), "ab") as log:
            made = subprocess.Popen([sys.executable, "-m", package], cwd=tree, env=env, stderr=log)
        if pin is not None:
            os.sched_setaffinity(made.pid, {pin})
        self.programs.append(made)
        return made

    def end(self):
        for program in [*self.programs, self.others]:
            program.kill()
            program.wait()
        self.dir.cleanup()


def ask(port, what="GET /v1/readyz", within=6.0):
    """Status and wait in s of one management call; 0: no answer."""
    began = time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", port), within) as s:
            s.settimeout(within)
            s.sendall(f"{what} HTTP/1.1\r\nHost: m\r\n\r\n".encode())
            return int(s.recv(9999).split()[1]), time.monotonic() - began
    except (OSError, IndexError):
        return 0, time.monotonic() - began


def until_ready(port):
    until = time.monotonic() + 10
    while ask(port)[0] != 200:
        if time.monotonic() > until:
            raise SystemExit("a softswitch did not become ready")
        time.sleep(0.01)


class Knocking(threading.Thread):
    """New connections without pause, a set-up on each."""

    def __init__(self, bed, n):
        super().__init__(daemon=True)
        self.bed, self.n, self.sent, self.lost, self.stop = bed, n, 0, {}, False

    def run(self):
        while not self.stop:
            self.sent += 1
            call = (self.n + 1) << 40 | self.sent
            try:
                with socket.create_connection(self.bed.at, 4) as s:
                    s.settimeout(4)
                    s.sendall(INVITE.format(call, self.bed.classes[0], call % 3).encode())
                    told = b""  # releases of other calls may come first
                    while b"CSeq: 1 INVITE" not in told and (more := s.recv(9999)):
                        told += more
                    how = "" if b"CSeq: 1 INVITE" in told else "closed"
            except OSError as e:
                how = type(e).__name__
            if how:
                self.lost[how] = self.lost.get(how, 0) + 1


def replace(times, tree=ROOT):
    for way in ("", "reuseport"):
        bed, took = Bed(), []
        trees = itertools.cycle((ROOT, tree))
        try:
            old = bed.start(port := free(), way, tree=next(trees))
            until_ready(port)
            callers = [Knocking(bed, n) for n in range(6)]
            for caller in callers:
                caller.start()
            for _ in range(times):
                time.sleep(0.3)
                began = time.monotonic()
                new = bed.start(port := free(), way, tree=next(trees))
                until_ready(port)
                took.append(time.monotonic() - began)
                old.send_signal(signal.SIGTERM)
                old.wait(8)
                old = new
            for caller in callers:
                caller.stop = True
            for caller in callers:
                caller.join()
            lost = {}
            for caller in callers:
                for how, n in caller.lost.items():
                    lost[how] = lost.get(how, 0) + n
            sent = sum(c.sent for c in callers)
            print(
                f"{way or 'descriptor handed over'}: {times} replacements, {sent} set-ups on as many "
                f"connections, lost at the door {sum(lost.values())} {lost}, "
                f"ready after {median(took):.2f} s (most {max(took):.2f})"
            )
        finally:
            bed.end()


def flood(at, klass, seconds):
    """Set-ups and their releases as fast as they are taken, many on a connection."""
    socks = [socket.create_connection(at) for _ in range(8)]
    until, n = time.monotonic() + seconds, os.getpid() << 24
    for s in socks:
        s.setblocking(False)
    while time.monotonic() < until:
        for s in socks:
            try:
                n += 1
                s.send(INVITE.format(n, klass, n % 3).encode())
                s.recv(1 << 20)
            except BlockingIOError:
                pass
            except OSError:
                return


def crowd(at):
    """Connects without end: says nothing, half a message, or asks once and stays."""
    kept, test = [], b"OPTIONS sip:p@net SIP/2.0\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
    for n in range(1 << 30):
        try:
            kept.append(socket.create_connection(at, 1))
            kept[-1].sendall((b"", b"INVITE sip:7@net SIP/2.0\r\nVia", test)[n % 3])
        except OSError:
            pass
        for old in kept[:-600]:
            old.close()
        del kept[:-600]
        time.sleep(0.003)


def mgmt(seconds):
    bed = Bed(sockets=256, memory_mb=64)
    try:
        core = max(os.sched_getaffinity(0))
        program = bed.start(port := free())
        until_ready(port)
        os.sched_setaffinity(program.pid, {core})
        spin = subprocess.Popen([sys.executable, "-c", "while True: pass"])
        os.sched_setaffinity(spin.pid, {core})
        bed.programs.append(spin)
        bed.programs.append(subprocess.Popen([sys.executable, __file__, "crowd", str(bed.at[1])]))
        mute = [socket.create_connection(("127.0.0.1", port)) for _ in range(5)]
        for _ in range(3):
            bed.programs.append(
                subprocess.Popen(
                    [sys.executable, __file__, "flood", str(bed.at[1]), bed.classes[0], str(seconds + 2)]
                )
            )
        time.sleep(1.0)
        held, waits, bad, until, busy = [], [], 0, time.monotonic() + seconds, time.monotonic()
        ticks = sum(map(int, Path(f"/proc/{program.pid}/stat").read_text().split()[13:15]))
        while time.monotonic() < until:
            status, wait = ask(port, "GET /v1/metrics")
            waits.append(wait)
            bad += status != 200
            held.append(len(os.listdir(f"/proc/{program.pid}/fd")))
            if len(waits) % 50 == 0:
                mute.append(socket.create_connection(("127.0.0.1", port)))
            time.sleep(0.05)
        ticks = sum(map(int, Path(f"/proc/{program.pid}/stat").read_text().split()[13:15])) - ticks
        share = ticks / os.sysconf("SC_CLK_TCK") / (time.monotonic() - busy)
        print(
            f"management calls: {len(waits)}, not answered 200: {bad}, longest wait "
            f"{1000 * max(waits):.0f} ms, median {1000 * median(waits):.1f} ms; softswitch at {share:.2f} "
            f"of a core it shares with a spinning process, {min(held)} to {max(held)} "
            f"of 256 descriptors held (callers may have 208), some 300 idle or half-written ones a second, "
            f"{len(mute)} operators' connections that said nothing"
        )
    finally:
        bed.end()


def memory(pairs):
    def resident(port):
        bed = Bed()
        try:
            program = bed.start(port)
            time.sleep(2.0)
            if port:
                ask(port)
            status = Path(f"/proc/{program.pid}/status").read_text()
            return int(next(x for x in status.splitlines() if x.startswith("VmRSS")).split()[1]) / 1024
        finally:
            bed.end()

    gaps = []
    for _ in range(pairs):
        with_, without = resident(free()), resident(None)
        gaps.append(with_ - without)
        print(f"with {with_:.2f} MB, without {without:.2f} MB")
    print(f"median of the differences over {pairs} pairs: {median(gaps):+.2f} MB")


def cost(tree, pairs):
    paired(tree, pairs, lambda n: ["benchmarks/record_cost.py", "day", "0", "12", str(n)])


if __name__ == "__main__":
    what, *more = sys.argv[1:] or [""]
    if what == "stand-ins":
        stand_ins()
    elif what == "flood":
        flood(("127.0.0.1", int(more[0])), more[1], float(more[2]))
    elif what == "crowd":
        crowd(("127.0.0.1", int(more[0])))
    elif what == "cost" and more:
        cost(more[0], int((more[1:] or ["6"])[0]))
    elif what == "replace" and more[1:]:
        replace(int(more[0]), more[1])
    elif what in ("replace", "mgmt", "memory"):
        defaults = {"replace": 20, "mgmt": 15, "memory": 5}
        {"replace": replace, "mgmt": mgmt, "memory": memory}[what](int((more or [defaults[what]])[0]))
    else:
        sys.exit(__doc__)
