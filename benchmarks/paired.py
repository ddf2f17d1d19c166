"""Figures of this checkout against another one's, in pairs whose order changes."""

import os
import subprocess
import sys
from pathlib import Path
from statistics import median

ROOT = Path(__file__).resolve().parent.parent


def paired(tree, pairs, words):
    """`words(n)`: what Python runs in either tree for the n-th pair; it prints seconds a call."""

    def per_call(root, n):
        ran = subprocess.run(
            [sys.executable, *words(n)],
            cwd=root,
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONPATH": str(root)},
        )
        if ran.returncode:
            raise SystemExit(ran.stderr)
        return float(ran.stdout)

    ratios = []
    for n in range(pairs):
        roots = [ROOT, Path(tree).resolve()]
        took = {root: per_call(root, n) for root in (roots if n % 2 else roots[::-1])}
        ratios.append(took[roots[0]] / took[roots[1]])
        print(
            f"{1e6 * took[roots[0]]:.1f} us a call against {1e6 * took[roots[1]]:.1f}: {ratios[-1]:.3f}",
            flush=True,
        )
    print(f"median ratio over {pairs} pairs: {median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")
