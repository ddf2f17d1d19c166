"""Time to find the circuits for a target blocking: the inverse of Erlang B and the textbook recursion."""

import time

from softswitch.dimension import loss


def circuits_by_recursion(erlangs, target):
    """Returns the circuits, by running the recursion until the blocking is within the target."""
    b, n = 1.0, 0
    while b > target:
        n += 1
        b = erlangs * b / (n + erlangs * b)
    return n


def measure(function, *args):
    """Calls the function for at least 0.3 s; returns its result and the seconds per call."""
    count, started_at = 0, time.perf_counter()
    while count < 2 or time.perf_counter() - started_at < 0.3:
        result, count = function(*args), count + 1
    return result, (time.perf_counter() - started_at) / count


if __name__ == "__main__":
    print(f"{'erlangs':>9} {'circuits':>9} {'inverse us':>11} {'recursion us':>13} {'ratio':>8}")
    for power in range(2, 7):
        a = float(10**power)
        fast, t_fast = measure(lambda a=a: loss.round_up(loss.circuits_for(a, 0.01)))
        slow, t_slow = measure(circuits_by_recursion, a, 0.01)
        assert fast == slow, (a, fast, slow)
        print(f"{a:9.0f} {fast:9d} {1e6 * t_fast:11.0f} {1e6 * t_slow:13.0f} {t_slow / t_fast:8.1f}")
