"""Case 7: a slow notice board is never heard, and a draining engine gets new set-ups for good."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import stage as st  # noqa: E402

SLOW = 3.0  # s that the board takes to serve a new watch
TOLD_WITHIN = 7.0  # s after which an event counts as told, whether it arrived or not
GRACE = 2.0 + 0.05  # s in which set-ups may still go to a draining engine
CALLS_FOR = 16.0  # s of calls after the event


async def case(stage: st.Stage) -> list[str]:
    """Plays the case."""
    first, _, board, softswitch = await st.small_deployment(stage)
    caller = await st.Caller(stage).connect(softswitch.address)
    await caller.establish(stage.new_call(), dest=first.cell)
    if stage.trouble:
        board.slow = SLOW
        board.break_off()
    await asyncio.sleep(1.0)
    board.change(first, st.DRAINING)
    drains_at = time.time()
    while time.time() < drains_at + CALLS_FOR:
        if caller.ended_at is not None:
            caller = await st.Caller(stage).connect(softswitch.address)
        await caller.call(stage.new_call(), dest=first.cell)
        await asyncio.sleep(0.2)
    last = drains_at + TOLD_WITHIN + GRACE
    after = [call.came_at - drains_at for call in first.setups if call.came_at > last]
    summary = (
        f"{len(after)} set-ups came to {first.name} later than {TOLD_WITHIN + GRACE:.2f} s after the board "
        f"had that it drains" + (f", the last one {after[-1]:.1f} s after" if after else "")
    )
    stage.note("judge", summary)
    print(summary)
    return [summary] if after else []


if __name__ == "__main__":
    st.run(FOLDER, case)
