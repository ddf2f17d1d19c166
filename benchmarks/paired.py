"""Paired comparison of this checkout with another one; the order of a pair alternates."""

import os
import subprocess
import sys
from pathlib import Path
from statistics import median

ROOT = Path(__file__).resolve().parent.parent


def compare_with(tree, pairs, arguments):
    """Prints the ratio of the time per call in this checkout to that in `tree`, for each pair and the median.

    arguments: a function that returns Python's arguments for the n-th pair. The program prints seconds per
    call.
    """

    def seconds_per_call(root, n):
        completed = subprocess.run(
            [sys.executable, *arguments(n)],
            cwd=root,
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONPATH": str(root)},
        )
        if completed.returncode:
            raise SystemExit(completed.stderr)
        return float(completed.stdout)

    ratios = []
    for n in range(pairs):
        roots = [ROOT, Path(tree).resolve()]
        times = {root: seconds_per_call(root, n) for root in (roots if n % 2 else roots[::-1])}
        ratios.append(times[roots[0]] / times[roots[1]])
        print(
            f"{1e6 * times[roots[0]]:.1f} us per call, other tree {1e6 * times[roots[1]]:.1f}: "
            f"{ratios[-1]:.3f}",
            flush=True,
        )
    print(f"median ratio over {pairs} pairs: {median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")
