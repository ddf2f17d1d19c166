"""Cost of an idle softswitch: processor time and wake-ups per second, and processor time to start.

    python benchmarks/idle.py [PAIRS] [--against TREE]

Each pair starts one softswitch of this tree and then one of TREE (an earlier version's checkout), with the
same stand-in engines, which report their state once per second; there are no calls. The ratios are of pairs.
"""

import argparse
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from statistics import median

ROOT = Path(__file__).resolve().parent.parent
TICKS = os.sysconf("SC_CLK_TCK")


def usage(pid):
    """Returns a process's processor seconds and its number of wake-ups (voluntary context switches)."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    status = Path(f"/proc/{pid}/status").read_text()
    return int(fields[0]) / 1e9, int(status.split("voluntary_ctxt_switches:")[1].split()[0])


def engine(listener):
    """Accepts connections and sends its state on each, at once and then once per second."""
    # A STATE message (type 43) with a load report (parameter 21), as in `net.engine_codec`.
    connections, text = [], b"x0:1000;x1:1000"
    message = struct.pack(">BQ", 43, 0) + struct.pack(">BH", 21, len(text)) + text
    listener.settimeout(0.05)
    due = 0.0
    while True:
        try:
            connection = listener.accept()[0]
            connections.append(connection)
            connection.sendall(struct.pack(">H", len(message)) + message)
        except TimeoutError:
            pass
        except OSError:
            return
        if time.monotonic() >= due:
            due = time.monotonic() + 1.0
            for connection in connections[:]:
                try:
                    connection.sendall(struct.pack(">H", len(message)) + message)
                except OSError:
                    connections.remove(connection)


def watch_server(listener):
    """Accepts connections and sends a heartbeat on each once per second."""
    while True:
        try:
            connection = listener.accept()[0]
        except OSError:
            return

        def send_heartbeats(connection=connection):
            try:
                while True:
                    connection.sendall(struct.pack(">IQB", 9, 0, 0))
                    time.sleep(1.0)
            except OSError:
                return

        threading.Thread(target=send_heartbeats, daemon=True).start()


def listen():
    """Returns a listener on a free port of the loopback interface, and its address."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    return listener, "{}:{}".format(*listener.getsockname())


def measure(tree, config, seconds):
    """Runs a softswitch; returns processor s to start, and idle processor ms and wake-ups per second."""
    env = os.environ | {"BALANCER_CONFIG": str(config), "SOFTSWITCH_LOG": "WARNING"}
    for name in ("TMPDIR", "PYTHONDONTWRITEBYTECODE"):  # bytecode is cached, as on the platform
        env.pop(name, None)
    program = subprocess.Popen([sys.executable, "-m", "softswitch"], cwd=tree, env=env)
    address = json.loads(config.read_text())["listen"].split(":")
    try:
        while True:
            try:
                socket.create_connection((address[0], int(address[1]))).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.02)
        start_time = usage(program.pid)[0]
        time.sleep(1.5)
        before, started_at = usage(program.pid), time.monotonic()
        time.sleep(seconds)
        after, duration = usage(program.pid), time.monotonic() - started_at
        return start_time, 1000 * (after[0] - before[0]) / duration, (after[1] - before[1]) / duration
    finally:
        program.terminate()
        program.wait()


def main():
    """Prints each measurement, then medians and ratios."""
    parser = argparse.ArgumentParser()
    parser.add_argument("pairs", nargs="?", type=int, default=3)
    parser.add_argument("--against")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--engines", type=int, default=8)
    args = parser.parse_args()
    hosts = []
    for n in range(args.engines):
        listener, address = listen()
        threading.Thread(target=engine, args=(listener,), daemon=True).start()
        hosts.append(
            {
                "host": f"s-{n:08x}",
                "dial": address,
                "site": "z",
                "class": "m",
                "block": n,
                "health": "active",
                "share": 1,
                "born_ms": 0,
            }
        )
    watch_listener, watch_address = listen()
    threading.Thread(target=watch_server, args=(watch_listener,), daemon=True).start()
    sys.path.insert(0, str(ROOT / "tests"))
    from test_simulator_adapter import INFO

    trees = [("this", ROOT)] + ([("against", Path(args.against))] if args.against else [])
    measurements = {name: [] for name, _ in trees}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(args.pairs):
            for name, tree in trees:
                unused, address = listen()
                unused.close()
                config = Path(folder, "config.json")
                config.write_text(
                    json.dumps(
                        {
                            "name": "n0",
                            "listen": address,
                            "seed": "1f",
                            "board": watch_address,
                            "settings": INFO,
                            "known": {
                                "rev": 3,
                                "notices": [{"rev": 3, "pool": {"whole": True, "hosts": hosts}}],
                            },
                        }
                    )
                )
                measurements[name].append(measure(tree, config, args.seconds))
                text = "start {:.3f} s, idle {:.2f} ms per second, {:.0f} wake-ups"
                print(name, text.format(*measurements[name][-1]))
    for n, label in enumerate(("start, s", "idle processor time, ms per second", "wake-ups per second")):
        this = [row[n] for row in measurements["this"]]
        line = f"{label}: median {median(this):.3f} (from {min(this):.3f} to {max(this):.3f})"
        if args.against:
            ratios = [a[n] / b[n] for a, b in zip(measurements["this"], measurements["against"], strict=True)]
            line += (
                f"; relative to the other tree {median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
            )
        print(line)


if __name__ == "__main__":
    main()
