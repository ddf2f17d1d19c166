"""Limits that are checked before the decision module sends a call. Implements `interface.CallLimits`."""

from __future__ import annotations

from softswitch import interface as i
from softswitch.limits.called_numbers import CalledNumbers
from softswitch.limits.tenants import TenantQuotas


class CallLimits:
    """All call limits of one softswitch process."""

    def __init__(self, settings: i.Settings) -> None:
        self.numbers = CalledNumbers()
        self.tenants = TenantQuotas(settings)

    def apply(self, settings: i.Settings) -> None:
        """Applies new settings."""
        self.tenants.apply(settings)

    def admit(
        self, now: float, request: i.SetupRequested, call_class: i.CallClass, shared: i.Constraints
    ) -> float:
        """Returns 0 if the call is admitted; otherwise ms until a similar call may be."""
        wait = self.numbers.admit(now, request.number) if request.number else 0.0
        return wait or shared.admit(call_class.name, call_class.priority_weight)

    def weight_of(
        self, now: float, request: i.SetupRequested, call_class: i.CallClass, call_fraction: float
    ) -> float:
        """Returns the priority weight of an admitted call, reduced if its tenant is over its quota."""
        factor = self.tenants.weight_factor(now, request.tenant, call_class, call_fraction)
        return call_class.weight_of(request.redial) * factor

    def record_attempt_event(
        self, now: float, event: i.AttemptEvent, request: i.SetupRequested | None
    ) -> None:
        """Records an answered or ended attempt; `request` is None if the call was established before."""
        if request is None:
            self.numbers.ended(now, event.call)
        elif event.callee_busy:
            self.numbers.busy(now, request.number)
        elif event.outcome is None:
            self.numbers.answered(now, request.number, event.call)
