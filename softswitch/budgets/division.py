"""Weighted max-min fair division of a total, in whole slots."""

from __future__ import annotations

from collections.abc import Sequence

MIN_WEIGHT = 1e-9


def divide(total: int, needs: Sequence[int], weights: Sequence[float]) -> list[int]:
    """Returns the slots for each need: at most the need, and otherwise in proportion to its weight.

    Slots that no one needs remain undivided. Deterministic; O(n log n). Each gets min(need, level * weight)
    rounded down, for the highest level at which the sum fits. The slots that remain by rounding go to the
    largest fractional parts, in order of index if equal.
    """
    slots = [0] * len(needs)
    if total <= 0 or not needs:
        return slots
    weights = [max(weight, MIN_WEIGHT) for weight in weights]
    by_level = sorted(range(len(needs)), key=lambda k: needs[k] / weights[k])
    remaining, remaining_weight = float(total), sum(weights)
    for place, k in enumerate(by_level):
        if needs[k] * remaining_weight > remaining * weights[k]:
            level = remaining / remaining_weight
            _divide_rest(total, needs, [level * weight for weight in weights], by_level[place:], slots)
            break
        slots[k] = needs[k]  # below the level: the complete need
        remaining -= needs[k]
        remaining_weight -= weights[k]
    return slots


def _divide_rest(
    total: int, needs: Sequence[int], exact: Sequence[float], rest: Sequence[int], slots: list[int]
) -> None:
    """Rounds the exact slots of the needs above the level, and distributes the remaining slots."""
    for k in rest:
        slots[k] = min(needs[k], int(exact[k]))
    spare = total - sum(slots)
    for k in sorted(rest, key=lambda k: (int(exact[k]) - exact[k], k)):
        if spare > 0 and slots[k] < needs[k]:
            slots[k] += 1
            spare -= 1
