"""Benchmarks of operation on loopback sockets: process replacement, management interface, memory, CPU time.

    python benchmarks/operation.py replace [N] [TREE] # call setups lost in N replacements, by handover mode;
                                                      # with TREE every second process runs that checkout
    python benchmarks/operation.py mgmt [SECONDS]     # max duration of management requests under overload
    python benchmarks/operation.py memory [PAIRS]     # resident memory with and without a management address
    python benchmarks/operation.py cost TREE [PAIRS]  # CPU time per call, paired with another checkout

Stand-ins and callers run in separate processes. All started processes are ended.
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

from paired import compare_with

ROOT = Path(__file__).resolve().parent.parent
INVITE = (
    "INVITE sip:77@net SIP/2.0\r\nVia: SIP/2.0/TCP p\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\n"
    "Subject: {}\r\nX-Patience: 3000\r\nX-Facts: dest:{};width:1;via:-1\r\nContent-Length: 3\r\n"
    "\r\nv=0"
)


def run_stand_ins():
    """Runs the watch server and engines until killed; prints a softswitch's configuration for them."""
    from twisted.internet import reactor

    from softswitch.cli.demo import day
    from softswitch.standin.board import ListedEngine, WatchServer
    from softswitch.standin.engine import Engine

    settings = day(10.0, 100.0, 3, 400, 1)
    engines = [Engine(reactor, e, n) for n, e in enumerate(settings.engines)]
    board = WatchServer(
        reactor, [ListedEngine(e.settings.name, e.listen(), e.settings.cell) for e in engines]
    )
    address = board.listen()
    print(
        json.dumps(
            {
                "board": f"{address[0]}:{address[1]}",
                "known": board.known(),
                "settings": settings.settings(),
                "seed": "1f",
                "name": "n0",
            }
        ),
        flush=True,
    )
    reactor.run()


def free_port():
    """Returns a port of the loopback interface that is currently free."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class TestBed:
    """Stand-ins, and the softswitches that are started with them."""

    def __init__(self, sockets=512, memory_mb=192):
        self.dir = tempfile.TemporaryDirectory()
        self.stand_ins = subprocess.Popen(
            [sys.executable, __file__, "stand-ins"], cwd=ROOT, stdout=subprocess.PIPE
        )
        config = json.loads(self.stand_ins.stdout.readline())
        self.address = ("127.0.0.1", free_port())
        config |= {
            "listen": f"127.0.0.1:{self.address[1]}",
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
        }
        self.classes = [lane["name"] for lane in config["settings"]["lanes"]]
        self.config = Path(self.dir.name, "config.json")
        self.config.write_text(json.dumps(config))
        self.programs = []

    def start(self, mgmt_port=None, handover_mode="", core=None, tree=ROOT):
        """Starts a softswitch of a checkout, pinned to a core if one is given; returns its process."""
        env = os.environ | {
            "PYTHONPATH": str(tree),
            "BALANCER_CONFIG": str(self.config),
            "TMPDIR": self.dir.name,
            "BALANCER_MGMT": f"127.0.0.1:{mgmt_port}" if mgmt_port else "",
            "SOFTSWITCH_HANDOVER": handover_mode,
            "WILLOWHITCH_HANDOVER": handover_mode,
        }
        package = "softswitch" if (Path(tree) / "softswitch").exists() else "willowhitch"
        with open(Path(self.dir.name, "log"), "ab") as log:
            program = subprocess.Popen([sys.executable, "-m", package], cwd=tree, env=env, stderr=log)
        if core is not None:
            os.sched_setaffinity(program.pid, {core})
        self.programs.append(program)
        return program

    def close(self):
        """Ends all processes and removes the directory."""
        for program in [*self.programs, self.stand_ins]:
            program.kill()
            program.wait()
        self.dir.cleanup()


def request(port, request_line="GET /v1/readyz", timeout=6.0):
    """Sends one management request; returns the status, 0 without a response, and the duration in s."""
    started_at = time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", port), timeout) as s:
            s.settimeout(timeout)
            s.sendall(f"{request_line} HTTP/1.1\r\nHost: m\r\n\r\n".encode())
            return int(s.recv(9999).split()[1]), time.monotonic() - started_at
    except (OSError, IndexError):
        return 0, time.monotonic() - started_at


def wait_until_ready(port):
    """Waits until a softswitch reports that it is ready; exits after 10 s."""
    deadline = time.monotonic() + 10
    while request(port)[0] != 200:
        if time.monotonic() > deadline:
            raise SystemExit("a softswitch did not become ready")
        time.sleep(0.01)


class CallerThread(threading.Thread):
    """Opens new connections without pause, with one call setup on each; counts lost setups by their cause."""

    def __init__(self, bed, n):
        super().__init__(daemon=True)
        self.bed, self.n, self.sent, self.lost, self.stop = bed, n, 0, {}, False

    def run(self):
        """Sends call setups until `stop` is set."""
        while not self.stop:
            self.sent += 1
            call = (self.n + 1) << 40 | self.sent
            try:
                with socket.create_connection(self.bed.address, 4) as s:
                    s.settimeout(4)
                    s.sendall(INVITE.format(call, self.bed.classes[0], call % 3).encode())
                    received = b""  # releases of other calls may precede the response
                    while b"CSeq: 1 INVITE" not in received and (data := s.recv(9999)):
                        received += data
                    cause = "" if b"CSeq: 1 INVITE" in received else "closed"
            except OSError as e:
                cause = type(e).__name__
            if cause:
                self.lost[cause] = self.lost.get(cause, 0) + 1


def replace(times, tree=ROOT):
    """Replaces a softswitch repeatedly, in both handover modes; prints the lost call setups."""
    for handover_mode in ("", "reuseport"):
        bed, ready_times = TestBed(), []
        trees = itertools.cycle((ROOT, tree))
        try:
            old = bed.start(port := free_port(), handover_mode, tree=next(trees))
            wait_until_ready(port)
            callers = [CallerThread(bed, n) for n in range(6)]
            for caller in callers:
                caller.start()
            for _ in range(times):
                time.sleep(0.3)
                started_at = time.monotonic()
                new = bed.start(port := free_port(), handover_mode, tree=next(trees))
                wait_until_ready(port)
                ready_times.append(time.monotonic() - started_at)
                old.send_signal(signal.SIGTERM)
                old.wait(8)
                old = new
            for caller in callers:
                caller.stop = True
            for caller in callers:
                caller.join()
            lost = {}
            for caller in callers:
                for cause, n in caller.lost.items():
                    lost[cause] = lost.get(cause, 0) + n
            sent = sum(c.sent for c in callers)
            print(
                f"{handover_mode or 'listener handed over'}: {times} replacements, {sent} call setups on "
                f"as many connections, without a response {sum(lost.values())} {lost}, "
                f"ready after {median(ready_times):.2f} s (max {max(ready_times):.2f})"
            )
        finally:
            bed.close()


def flood(address, call_class, seconds):
    """Sends call setups on eight connections as fast as they are accepted."""
    connections = [socket.create_connection(address) for _ in range(8)]
    deadline, n = time.monotonic() + seconds, os.getpid() << 24
    for s in connections:
        s.setblocking(False)
    while time.monotonic() < deadline:
        for s in connections:
            try:
                n += 1
                s.send(INVITE.format(n, call_class, n % 3).encode())
                s.recv(1 << 20)
            except BlockingIOError:
                pass
            except OSError:
                return


def crowd(address):
    """Opens connections without end; keeps 600, which send nothing, half a message or one OPTIONS."""
    connections, options = [], b"OPTIONS sip:p@net SIP/2.0\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
    for n in range(1 << 30):
        try:
            connections.append(socket.create_connection(address, 1))
            connections[-1].sendall((b"", b"INVITE sip:7@net SIP/2.0\r\nVia", options)[n % 3])
        except OSError:
            pass
        for old in connections[:-600]:
            old.close()
        del connections[:-600]
        time.sleep(0.003)


def measure_management(seconds):
    """Prints the response times of management requests to a softswitch that is overloaded."""
    bed = TestBed(sockets=256, memory_mb=64)
    try:
        core = max(os.sched_getaffinity(0))
        program = bed.start(port := free_port())
        wait_until_ready(port)
        os.sched_setaffinity(program.pid, {core})
        spinning = subprocess.Popen([sys.executable, "-c", "while True: pass"])
        os.sched_setaffinity(spinning.pid, {core})
        bed.programs.append(spinning)
        bed.programs.append(subprocess.Popen([sys.executable, __file__, "crowd", str(bed.address[1])]))
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(5)]
        for _ in range(3):
            bed.programs.append(
                subprocess.Popen(
                    [sys.executable, __file__, "flood", str(bed.address[1]), bed.classes[0], str(seconds + 2)]
                )
            )
        time.sleep(1.0)
        descriptors, durations, failed, deadline, started_at = (
            [],
            [],
            0,
            time.monotonic() + seconds,
            time.monotonic(),
        )
        ticks = sum(map(int, Path(f"/proc/{program.pid}/stat").read_text().split()[13:15]))
        while time.monotonic() < deadline:
            status, duration = request(port, "GET /v1/metrics")
            durations.append(duration)
            failed += status != 200
            descriptors.append(len(os.listdir(f"/proc/{program.pid}/fd")))
            if len(durations) % 50 == 0:
                silent.append(socket.create_connection(("127.0.0.1", port)))
            time.sleep(0.05)
        ticks = sum(map(int, Path(f"/proc/{program.pid}/stat").read_text().split()[13:15])) - ticks
        load = ticks / os.sysconf("SC_CLK_TCK") / (time.monotonic() - started_at)
        print(
            f"management requests: {len(durations)}, without status 200: {failed}, max duration "
            f"{1000 * max(durations):.0f} ms, median {1000 * median(durations):.1f} ms; "
            f"softswitch uses {load:.2f} "
            f"of a core shared with a spinning process, {min(descriptors)} to {max(descriptors)} "
            f"of 256 descriptors in use (limit for callers 208), about 300 idle or half-written connections "
            f"per second, {len(silent)} silent management connections"
        )
    finally:
        bed.close()


def compare_memory(pairs):
    """Prints the resident memory with and without a management address, in pairs."""

    def resident_mb(port):
        bed = TestBed()
        try:
            program = bed.start(port)
            time.sleep(2.0)
            if port:
                request(port)
            status = Path(f"/proc/{program.pid}/status").read_text()
            return int(next(x for x in status.splitlines() if x.startswith("VmRSS")).split()[1]) / 1024
        finally:
            bed.close()

    differences = []
    for _ in range(pairs):
        with_, without = resident_mb(free_port()), resident_mb(None)
        differences.append(with_ - without)
        print(f"with {with_:.2f} MB, without {without:.2f} MB")
    print(f"median of the differences over {pairs} pairs: {median(differences):+.2f} MB")


def compare_cost(tree, pairs):
    """Prints the CPU time per call relative to another checkout."""
    compare_with(tree, pairs, lambda n: ["benchmarks/record_cost.py", "day", "0", "12", str(n)])


if __name__ == "__main__":
    command, *args = sys.argv[1:] or [""]
    if command == "stand-ins":
        run_stand_ins()
    elif command == "flood":
        flood(("127.0.0.1", int(args[0])), args[1], float(args[2]))
    elif command == "crowd":
        crowd(("127.0.0.1", int(args[0])))
    elif command == "cost" and args:
        compare_cost(args[0], int((args[1:] or ["6"])[0]))
    elif command == "replace" and args[1:]:
        replace(int(args[0]), args[1])
    elif command in ("replace", "mgmt", "memory"):
        defaults = {"replace": 20, "mgmt": 15, "memory": 5}
        {"replace": replace, "mgmt": measure_management, "memory": compare_memory}[command](
            int((args or [defaults[command]])[0])
        )
    else:
        sys.exit(__doc__)
