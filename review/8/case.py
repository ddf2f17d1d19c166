"""Case 8: an engine that a whole list no longer names, and calls that are never released to their caller."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import stage as st  # noqa: E402

BOARD_DOWN = 6.0  # s
RELEASE_WITHIN = 8.0 + 0.05  # s after the end of a call, where no release could be sent
WATCHED = 20.0  # s after the end of the calls


async def replace_engine(stage: st.Stage, first: st.Engine, board: st.Board) -> None:
    """The machine of an engine vanishes and a new one gets its address, while the board is down."""
    board.close()
    down_at = time.time()
    await asyncio.sleep(1.0)
    first.vanish()
    await asyncio.sleep(1.0)
    new = st.Engine(stage, "s-0000000e", first.cell)
    await new.open(port=first.address[1])
    born_ms = int(1000 * time.time())
    await asyncio.sleep(down_at + BOARD_DOWN - time.time())
    del board.entries[first.name]
    board.list(new, born_ms=born_ms)
    board.whole()
    await board.open()


async def case(stage: st.Stage) -> list[str]:
    """Plays the case."""
    engines, board, softswitch = await st.small_deployment(stage)
    first = engines[0]
    caller = await st.Caller(stage).connect(softswitch.address)
    calls = [stage.new_call() for _ in range(3)]
    for call in calls:
        await caller.establish(call, dest=first.cell)
    await asyncio.sleep(1.0)
    if stage.trouble:
        await replace_engine(stage, first, board)
    else:
        for call in list(first.calls.values()):
            first.release(call, 16)
    until = max(first.over.values()) + WATCHED
    await caller.wait_for(lambda: all(caller.byes(c) for c in calls), until - time.time())
    if caller.ended_at is not None:
        raise st.CouldNotRunError("the caller's connection ended")
    broken = []
    for call in calls:
        byes = [at - first.over[call] for at in caller.byes(call)]
        stage.note(
            "judge",
            f"{call}: released to its caller {byes[0]:.2f} s after" if byes else f"{call}: no release",
        )
        if not byes or byes[0] > RELEASE_WITHIN:
            broken.append(
                f"call {call} was over at {first.name}, no release to its caller in {WATCHED:.0f} s"
            )
    return broken


if __name__ == "__main__":
    st.run(FOLDER, case)
