"""Two groups that overflow to each other, solved exactly: what a softswitch makes of two engines."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from scipy.sparse import coo_matrix
from scipy.sparse.linalg import spsolve

from softswitch.dimension.loss import check_range


@dataclass(frozen=True, slots=True)
class Pair:
    """Loss of the calls that try the first or the second group first, and the mean circuits in use."""

    first: float
    second: float
    carried: tuple[float, float]


def pair(circuits: tuple[int, int], erlangs: tuple[float, float], reserve: tuple[int, int] = (0, 0)) -> Pair:
    """Random calls of width 1 with one mean holding time; a call that finds its own group full takes a
    circuit of the other while more than `reserve` are free there. The chain's balance equations, solved
    sparsely; relative error about 1e-9, up to a few hundred circuits each. Raises OutOfRangeError.
    """
    for n, a, r in zip(circuits, erlangs, reserve, strict=True):
        check_range("circuits", n, 1, 1000)
        check_range("erlangs", a, 0, 1e5)
        check_range("reserve", r, 0, n)
    n1, n2 = circuits
    wide = n2 + 1
    rows: list[int] = []
    columns: list[int] = []
    rates: list[float] = []

    def flow(begin: int, end: int, rate: float) -> None:
        rows.extend((end, begin))
        columns.extend((begin, begin))
        rates.extend((rate, -rate))

    lost = np.zeros((2, (n1 + 1) * wide))
    for i in range(n1 + 1):
        for j in range(n2 + 1):
            here = i * wide + j
            if i < n1:
                flow(here, here + wide, erlangs[0])
            elif n2 - j > reserve[1]:
                flow(here, here + 1, erlangs[0])
            else:
                lost[0, here] = 1
            if j < n2:
                flow(here, here + 1, erlangs[1])
            elif n1 - i > reserve[0]:
                flow(here, here + wide, erlangs[1])
            else:
                lost[1, here] = 1
            if i:
                flow(here, here - wide, float(i))
            if j:
                flow(here, here - 1, float(j))
    size = (n1 + 1) * wide
    matrix = coo_matrix((rates, (rows, columns)), shape=(size, size)).tolil()
    matrix[0, :] = 1.0  # one equation is redundant: the chances add up to one
    right = np.zeros(size)
    right[0] = 1.0
    chances = spsolve(matrix.tocsc(), right)
    up = np.arange(size)
    return Pair(
        float(lost[0] @ chances),
        float(lost[1] @ chances),
        (float((up // wide) @ chances), float((up % wide) @ chances)),
    )
