"""Case 6: a message without an id, and from then on the softswitch sets up no call."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import stage as st  # noqa: E402
from standins_2 import wire  # noqa: E402

CALLS_FOR = 25.0  # s of usual calls after the bad message
PATIENCE = 2.7  # s; 30% of the class's 9 s
BAD = wire.request("BYE", "sip:7f3a9c21e0b4d655@net", {"CSeq": "2 BYE"})


async def usual_calls(stage: st.Stage, softswitch: st.Softswitch, seconds: float) -> list[int]:
    """Places usual calls one after the other; returns the codes of their answers."""
    caller = await st.Caller(stage).connect(softswitch.address)
    codes = []
    until = time.time() + seconds
    while time.time() < until:
        if caller.ended_at is not None:
            caller = await st.Caller(stage).connect(softswitch.address)
        codes.append(await caller.call(stage.new_call(), PATIENCE, dest=len(codes) % 4))
        await asyncio.sleep(0.2)
    return codes


async def case(stage: st.Stage) -> list[str]:
    """Plays the case."""
    engines, _, softswitch = await st.small_deployment(stage)
    before = await usual_calls(stage, softswitch, 2.0)
    if set(before) != {200}:
        raise st.CouldNotRunError(f"before the disruption: {before}")
    if stage.trouble:
        bad = await st.Caller(stage).connect(softswitch.address)
        stage.note(bad.name, "> BYE without an id")
        bad.write(BAD)
        await asyncio.sleep(1.0)
        bad.close()
    codes = await usual_calls(stage, softswitch, CALLS_FOR)
    unreadable = sum(len(engine.unreadable) for engine in engines)
    ready = await softswitch.ready()
    summary = (
        f"{len(codes)} usual calls in {CALLS_FOR:.0f} s, {codes.count(200)} stand; "
        f"{unreadable} messages from the softswitch that an engine can't read; it says ready: {ready}"
    )
    stage.note("judge", summary)
    print(summary)
    hangs = unreadable > 0 and 200 not in codes
    return [summary] if hangs or not softswitch.running else []


if __name__ == "__main__":
    st.run(FOLDER, case)
