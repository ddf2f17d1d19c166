"""Division of a whole by need: weighted max-min, in whole slots."""

from __future__ import annotations

from collections.abc import Sequence


def divided(whole: int, needs: Sequence[int], weights: Sequence[float]) -> list[int]:
    """So many slots to each, no more than it needs, and as even by weight as that allows. What nobody needs
    is
    left over. Deterministic; O(n log n).

    Each gets min(need, level * weight) rounded down, for the highest level at which the sum fits; the slots
    that rounding leaves go to those whose share was cut most, the first of equals first.
    """
    n = len(needs)
    parts = [0] * n
    if whole <= 0 or not n:
        return parts
    weights = [max(w, 1e-9) for w in weights]
    order = sorted(range(n), key=lambda k: needs[k] / weights[k])
    left, weight = float(whole), sum(weights)
    for place, k in enumerate(order):
        if needs[k] * weight <= left * weights[k]:
            parts[k] = needs[k]  # below the level: it gets all it needs
            left -= needs[k]
            weight -= weights[k]
            continue
        level = left / weight
        rest = order[place:]
        exact = {m: level * weights[m] for m in rest}
        for m in rest:
            parts[m] = min(needs[m], int(exact[m]))
        spare = whole - sum(parts)
        for m in sorted(rest, key=lambda m: (int(exact[m]) - exact[m], m)):
            if spare > 0 and parts[m] < needs[m]:
                parts[m] += 1
                spare -= 1
        break
    return parts
