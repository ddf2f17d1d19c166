"""Circuits for a target by the inverse of Erlang B against the textbook recursion, in one run."""

import time

from softswitch.dimension import loss


def by_recursion(erlangs, target):
    """Runs the recursion until the blocking is under the target: the plain way."""
    b, n = 1.0, 0
    while b > target:
        n += 1
        b = erlangs * b / (n + erlangs * b)
    return n


def timed(work, *args):
    count, began = 0, time.perf_counter()
    while count < 2 or time.perf_counter() - began < 0.3:
        found, count = work(*args), count + 1
    return found, (time.perf_counter() - began) / count


if __name__ == "__main__":
    print(f"{'erlangs':>9} {'circuits':>9} {'inverse us':>11} {'recursion us':>13} {'ratio':>8}")
    for power in range(2, 7):
        a = float(10**power)
        fast, t_fast = timed(lambda a=a: loss.round_up(loss.circuits_for(a, 0.01)))
        slow, t_slow = timed(by_recursion, a, 0.01)
        assert fast == slow, (a, fast, slow)
        print(f"{a:9.0f} {fast:9d} {1e6 * t_fast:11.0f} {1e6 * t_slow:13.0f} {t_slow / t_fast:8.1f}")
