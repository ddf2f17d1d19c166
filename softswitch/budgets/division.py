"""Division of a total by need: weighted max-min, in whole slots."""

from __future__ import annotations

from collections.abc import Sequence

MIN_WEIGHT = 1e-9


def divide(total: int, needs: Sequence[int], weights: Sequence[float]) -> list[int]:
    """So many slots to each, no more than it needs, and as even by weight as that allows.

    What nobody needs is left over. Deterministic; O(n log n). Each gets min(need, level * weight) rounded
    down, for the highest level at which the sum fits; the slots that rounding leaves go to those whose share
    was cut most, the first of equals first.
    """
    parts = [0] * len(needs)
    if total <= 0 or not needs:
        return parts
    weights = [max(weight, MIN_WEIGHT) for weight in weights]
    by_level = sorted(range(len(needs)), key=lambda k: needs[k] / weights[k])
    remaining, remaining_weight = float(total), sum(weights)
    for place, k in enumerate(by_level):
        if needs[k] * remaining_weight > remaining * weights[k]:
            level = remaining / remaining_weight
            _divide_rest(total, needs, [level * weight for weight in weights], by_level[place:], parts)
            break
        parts[k] = needs[k]  # below the level: it gets all it needs
        remaining -= needs[k]
        remaining_weight -= weights[k]
    return parts


def _divide_rest(
    total: int, needs: Sequence[int], exact: Sequence[float], rest: Sequence[int], parts: list[int]
) -> None:
    """Rounds the exact parts of those above the level, and hands out what that leaves."""
    for k in rest:
        parts[k] = min(needs[k], int(exact[k]))
    spare = total - sum(parts)
    for k in sorted(rest, key=lambda k: (int(exact[k]) - exact[k], k)):
        if spare > 0 and parts[k] < needs[k]:
            parts[k] += 1
            spare -= 1
