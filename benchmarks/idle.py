"""What an idle softswitch costs: processor time and wake-ups a second, and processor time to start.

    python benchmarks/idle.py [PAIRS] [--against TREE]

Each pair starts one softswitch of this tree and one of TREE (an earlier version's checkout), one after the
other, among the same stand-in engines that tell their state once a second; nobody calls. Ratios are paired.
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


def spent(pid):
    """Processor seconds, and times it woke up from waiting."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    status = Path(f"/proc/{pid}/status").read_text()
    return int(fields[0]) / 1e9, int(status.split("voluntary_ctxt_switches:")[1].split()[0])


def engine(listener):
    """Accepts links and tells its state once a second on each."""
    links, text = [], b"x0:1000;x1:1000"
    said = struct.pack(">BQ", 43, 0) + struct.pack(">BH", 21, len(text)) + text
    listener.settimeout(0.05)
    due = 0.0
    while True:
        try:
            link = listener.accept()[0]
            links.append(link)
            link.sendall(struct.pack(">H", len(said)) + said)
        except TimeoutError:
            pass
        except OSError:
            return
        if time.monotonic() >= due:
            due = time.monotonic() + 1.0
            for link in links[:]:
                try:
                    link.sendall(struct.pack(">H", len(said)) + said)
                except OSError:
                    links.remove(link)


def board(listener):
    while True:
        try:
            link = listener.accept()[0]
        except OSError:
            return

        def beat(link=link):
            try:
                while True:
                    link.sendall(struct.pack(">IQB", 9, 0, 0))
                    time.sleep(1.0)
            except OSError:
                return

        threading.Thread(target=beat, daemon=True).start()


def listening():
    made = socket.create_server(("127.0.0.1", 0), backlog=64)
    return made, "{}:{}".format(*made.getsockname())


def measure(tree, config, seconds):
    env = os.environ | {"BALANCER_CONFIG": str(config), "SOFTSWITCH_LOG": "WARNING"}
    for name in ("TMPDIR", "PYTHONDONTWRITEBYTECODE"):  # as the platform: what is compiled is kept
        env.pop(name, None)
    program = subprocess.Popen([sys.executable, "-m", "softswitch"], cwd=tree, env=env)
    at = json.loads(config.read_text())["listen"].split(":")
    try:
        while True:
            try:
                socket.create_connection((at[0], int(at[1]))).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.02)
        started = spent(program.pid)[0]
        time.sleep(1.5)
        before, began = spent(program.pid), time.monotonic()
        time.sleep(seconds)
        after, took = spent(program.pid), time.monotonic() - began
        return started, 1000 * (after[0] - before[0]) / took, (after[1] - before[1]) / took
    finally:
        program.terminate()
        program.wait()


def main():
    said = argparse.ArgumentParser()
    said.add_argument("pairs", nargs="?", type=int, default=3)
    said.add_argument("--against")
    said.add_argument("--seconds", type=float, default=5.0)
    said.add_argument("--engines", type=int, default=8)
    given = said.parse_args()
    hosts = []
    for n in range(given.engines):
        listener, at = listening()
        threading.Thread(target=engine, args=(listener,), daemon=True).start()
        hosts.append(
            {
                "host": f"s-{n:08x}",
                "dial": at,
                "site": "z",
                "class": "m",
                "block": n,
                "health": "active",
                "share": 1,
                "born_ms": 0,
            }
        )
    door, board_at = listening()
    threading.Thread(target=board, args=(door,), daemon=True).start()
    sys.path.insert(0, str(ROOT / "tests"))
    from test_simulator_adapter import INFO

    trees = [("this", ROOT)] + ([("against", Path(given.against))] if given.against else [])
    seen = {name: [] for name, _ in trees}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(given.pairs):
            for name, tree in trees:
                spare, at = listening()
                spare.close()
                config = Path(folder, "config.json")
                config.write_text(
                    json.dumps(
                        {
                            "name": "n0",
                            "listen": at,
                            "seed": "1f",
                            "board": board_at,
                            "settings": INFO,
                            "known": {
                                "rev": 3,
                                "notices": [{"rev": 3, "pool": {"whole": True, "hosts": hosts}}],
                            },
                        }
                    )
                )
                seen[name].append(measure(tree, config, given.seconds))
                told = "start {:.3f} s, idle {:.2f} ms a second, {:.0f} wake-ups"
                print(name, told.format(*seen[name][-1]))
    for n, what in enumerate(("start, s", "idle processor time, ms a second", "wake-ups a second")):
        this = [row[n] for row in seen["this"]]
        line = f"{what}: median {median(this):.3f} (from {min(this):.3f} to {max(this):.3f})"
        if given.against:
            ratios = [a[n] / b[n] for a, b in zip(seen["this"], seen["against"], strict=True)]
            line += f"; against the other tree {median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
        print(line)


if __name__ == "__main__":
    main()
