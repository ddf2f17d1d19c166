"""A bad caller takes back the id of an open request of another caller, which is still owed its answer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Board, Callers, Engine, Platform, Record, Setup, main

CALLS = 20
PATIENCE = 3_000.0  # ms
LATE = 550.0  # ms after its time until a request without an answer is lost


async def play(record: Record, trouble: bool) -> list[str]:
    """Places calls; the bad caller repeats and takes back their ids on connections of its own."""
    engines = [Engine(record, "s-0000000a", 0, delay=0.3), Engine(record, "s-0000000b", 1, delay=0.3)]
    for engine in engines:
        await engine.start()
    board = Board(record, [engine.listed for engine in engines])
    await board.start()
    platform = Platform(record, board, [0, 1])
    platform.write_config()
    callers, bad = Callers(record, platform.address), Callers(record, platform.address)
    try:
        await platform.start()
        await platform.wait_ready(callers.ready, 30.0)
        line = await callers.connect("usual caller")
        for n in range(CALLS):
            setup = callers.place(line, "price-check", PATIENCE, cell=n % 2)
            await asyncio.sleep(0.1)  # its set-up waits at the engine
            if trouble:
                bad_line = await bad.connect(f"bad caller {n}")
                bad_line.invite(Setup(setup.call, b"another description", PATIENCE), "price-check")
                bad_line.cancel(setup.call)
            await asyncio.sleep(0.1)
        await asyncio.sleep((PATIENCE + LATE) / 1000)
        lost = [setup.call for setup in callers.setups.values() if not setup.answers]
    finally:
        await platform.end()
    return [f"request {call} got no answer within {PATIENCE + LATE:.0f} ms" for call in lost]


main(str(Path(__file__).resolve().parent), play)
