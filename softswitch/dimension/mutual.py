"""Exact blocking of two groups that overflow to each other, the model of a softswitch with two engines."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from scipy.sparse import coo_matrix
from scipy.sparse.linalg import spsolve

from softswitch.dimension.loss import check_range


@dataclass(frozen=True, slots=True)
class Pair:
    """Blocking of the calls offered to the first or the second group first, and the carried erlangs."""

    first: float
    second: float
    carried: tuple[float, float]


def pair(circuits: tuple[int, int], erlangs: tuple[float, float], reserve: tuple[int, int] = (0, 0)) -> Pair:
    """Solves the model of two groups that overflow to each other.

    The calls are random, of width 1 and of one mean holding time. A call that finds its own group full takes
    a circuit of the other group if more than `reserve` circuits are free there. The balance equations of the
    Markov chain are solved as a sparse system with a relative error of about 1e-9, for up to a few hundred
    circuits each. Raises OutOfRangeError.
    """
    for n, a, r in zip(circuits, erlangs, reserve, strict=True):
        check_range("circuits", n, 1, 1000)
        check_range("erlangs", a, 0, 1e5)
        check_range("reserve", r, 0, n)
    n1, n2 = circuits
    stride = n2 + 1
    rows: list[int] = []
    columns: list[int] = []
    rates: list[float] = []

    def add_transition(source: int, target: int, rate: float) -> None:
        rows.extend((target, source))
        columns.extend((source, source))
        rates.extend((rate, -rate))

    lost = np.zeros((2, (n1 + 1) * stride))
    for i in range(n1 + 1):
        for j in range(n2 + 1):
            state = i * stride + j
            if i < n1:
                add_transition(state, state + stride, erlangs[0])
            elif n2 - j > reserve[1]:
                add_transition(state, state + 1, erlangs[0])
            else:
                lost[0, state] = 1
            if j < n2:
                add_transition(state, state + 1, erlangs[1])
            elif n1 - i > reserve[0]:
                add_transition(state, state + stride, erlangs[1])
            else:
                lost[1, state] = 1
            if i:
                add_transition(state, state - stride, float(i))
            if j:
                add_transition(state, state - 1, float(j))
    size = (n1 + 1) * stride
    matrix = coo_matrix((rates, (rows, columns)), shape=(size, size)).tolil()
    matrix[0, :] = 1.0  # replaces a redundant equation: the probabilities add up to 1
    right = np.zeros(size)
    right[0] = 1.0
    probabilities = spsolve(matrix.tocsc(), right)
    states = np.arange(size)
    return Pair(
        float(lost[0] @ probabilities),
        float(lost[1] @ probabilities),
        (float((states // stride) @ probabilities), float((states % stride) @ probabilities)),
    )
