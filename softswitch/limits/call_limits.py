"""The limits that a call passes before the decision module tries it. Fulfils `interface.CallLimits`."""

from __future__ import annotations

from softswitch import interface as i
from softswitch.limits.called_numbers import CalledNumbers
from softswitch.limits.tenants import TenantQuotas


class CallLimits:
    """All limits of one softswitch process."""

    def __init__(self, settings: i.Settings) -> None:
        self.numbers = CalledNumbers()
        self.tenants = TenantQuotas(settings)

    def apply(self, settings: i.Settings) -> None:
        """These settings hold from now on."""
        self.tenants.apply(settings)

    def admit(
        self, now: float, request: i.SetupRequested, call_class: i.CallClass, shared: i.Constraints
    ) -> float:
        """Admits a call: 0. Otherwise ms until one like it may be tried."""
        wait = self.numbers.admit(now, request.number) if request.number else 0.0
        return wait or shared.admit(call_class.name, call_class.priority_weight)

    def weight_of(
        self, now: float, request: i.SetupRequested, call_class: i.CallClass, call_share: float
    ) -> float:
        """The priority weight of a call that was admitted."""
        share = self.tenants.weight_share(now, request.tenant, call_class, call_share)
        return call_class.weight_of(request.redial) * share

    def record_attempt_event(
        self, now: float, event: i.AttemptEvent, request: i.SetupRequested | None
    ) -> None:
        """An attempt was answered or ended; `request`: of its call, None if that was established before."""
        if request is None:
            self.numbers.ended(now, event.call)
        elif event.callee_busy:
            self.numbers.busy(now, request.number)
        elif event.outcome is None:
            self.numbers.answered(now, request.number, event.call)
