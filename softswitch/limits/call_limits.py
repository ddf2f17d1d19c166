"""The limits that a call passes before the decision module tries it. Fulfils `interface.CallLimits`."""

from __future__ import annotations

from softswitch import interface as i
from softswitch.limits.called_numbers import CalledNumbers


class CallLimits:
    """All limits of one softswitch process."""

    def __init__(self) -> None:
        self.numbers = CalledNumbers()

    def admit(
        self, now: float, request: i.SetupRequested, call_class: i.CallClass, shared: i.Constraints
    ) -> float:
        """Admits a call: 0. Otherwise ms until one like it may be tried."""
        wait = self.numbers.admit(now, request.number) if request.number else 0.0
        return wait or shared.admit(call_class.name, call_class.priority_weight)

    def attempt_over(self, now: float, event: i.AttemptOver, request: i.SetupRequested | None) -> None:
        """An attempt was answered or ended; `request`: of its call, None if that was established before."""
        if request is None:
            self.numbers.ended(now, event.call)
        elif event.callee_busy:
            self.numbers.busy(now, request.number)
        elif event.outcome is None:
            self.numbers.answered(now, request.number, event.call)
