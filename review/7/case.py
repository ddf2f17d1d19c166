"""Case 7: a process that replaces another in an outage of discovery forgets that an engine drains."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import stage as st  # noqa: E402

OUTAGE = 7.5  # s; the page has 8
TOLD_FOR = 6.0  # s from the event to the outage, so that it counts as told by every reading before the end
BINDING_AFTER = 2.0  # s after the yes of the new process, from which the board's news is binding
GRACE = 2.0 + 0.05  # s in which set-ups may still go to a draining engine
OWN_LAG = 0.2  # s by which the stand-ins may read late
CALLS_FOR = 9.0  # s of calls after the yes


async def replace(stage: st.Stage, old: st.Softswitch, board: st.Board) -> tuple[st.Softswitch, float]:
    """Starts the program once more, with everything unchanged but the operators' address."""
    new = st.Softswitch(stage, board, listen=old.address, folder=old.folder)
    new.same_config_as(old)
    await new.start(ready_within=6.0)
    return new, time.time()


async def case(stage: st.Stage) -> list[str]:
    """Plays the case."""
    engines, board, old = await st.small_deployment(stage)
    first = engines[0]
    caller = await st.Caller(stage).connect(old.address)
    await caller.establish(stage.new_call(), dest=first.cell)
    board.change(first, st.DRAINING)
    await asyncio.sleep(TOLD_FOR)
    before = len(first.setups)
    await caller.establish(stage.new_call(), dest=first.cell)
    if len(first.setups) != before:
        raise st.CouldNotRunError("the old process does not keep the drain")
    outage_ends = time.time() + OUTAGE
    if stage.trouble:
        board.close()
    new, yes_at = await replace(stage, old, board)
    stage.go(stop_soon(old))
    caller = await st.Caller(stage).connect(new.address)
    back = False
    while time.time() < yes_at + CALLS_FOR:
        if stage.trouble and not back and time.time() >= outage_ends:
            back = True
            await board.open()
        if caller.ended_at is not None:
            caller = await st.Caller(stage).connect(new.address)
        await caller.call(stage.new_call(), dest=first.cell)
        await asyncio.sleep(0.1)
    last = yes_at + BINDING_AFTER + GRACE + OWN_LAG
    late = [call.came_at - yes_at for call in first.setups if call.came_at > last]
    all_new = [call.came_at - yes_at for call in first.setups[before:]]
    stage.note("judge", f"set-ups at {first.name}, s after the yes: {[round(at, 2) for at in all_new]}")
    summary = f"{len(late)} set-ups came to draining {first.name} {last - yes_at:.2f} s or more after the yes"
    print(summary)
    return [summary] if late else []


async def stop_soon(old: st.Softswitch) -> None:
    """SIGTERM to the old process, soon after the yes of the new one."""
    await asyncio.sleep(0.2)
    old.signal(st.signal.SIGTERM)


if __name__ == "__main__":
    st.run(FOLDER, case)
