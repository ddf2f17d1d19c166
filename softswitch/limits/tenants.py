"""Quotas of tenants: calls over the quota lose priority, so that they are shed first under overload.

Each tenant has a token bucket (Turner, "New directions in communications", 1986). It is filled at this
softswitch's fraction of the quota, up to a burst, and each call takes one token. A call that finds none is
over the quota. It is not rejected for that: the decision module serves calls by weight, so calls over
the quota are served last, while there is capacity. Times are in ms.
"""

from __future__ import annotations

from softswitch import interface as i

BURST = 2_000.0  # ms; maximum tokens of a tenant, as the time in which its quota issues them
MS_PER_S = 1_000.0


class TokenBucket:
    """Token bucket for the calls of one tenant at this softswitch."""

    __slots__ = ("quota", "tokens", "updated_at")

    def __init__(self, quota: float) -> None:
        self.quota = quota  # calls per ms over all softswitches
        self.tokens = 0.0
        self.updated_at: float | None = None  # None: no call yet, the bucket is full

    def take(self, now: float, call_fraction: float) -> bool:
        """Takes a token; False: there is none. Tokens are added at the quota times `call_fraction`."""
        rate = self.quota * call_fraction
        burst = max(1.0, rate * BURST)
        gained = burst if self.updated_at is None else rate * (now - self.updated_at)
        self.tokens = min(burst, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TenantQuotas:
    """Token buckets of all tenants.

    The softswitches exchange no data about them: each applies its fraction of all calls to the quotas.
    """

    def __init__(self, settings: i.Settings) -> None:
        self.over_quota_calls = 0  # total number of calls over their tenant's quota
        self.buckets: dict[str, TokenBucket] = {}
        self.apply(settings)

    def apply(self, settings: i.Settings) -> None:
        """Applies new settings; tenants that are still listed keep their tokens."""
        old_buckets, self.buckets = self.buckets, {}
        self.over_weight = settings.over_quota_weight  # factor for calls over the quota
        self.min_weight = settings.min_weight
        for tenant in settings.tenants:
            bucket = self.buckets[tenant.name] = old_buckets.get(tenant.name) or TokenBucket(0.0)
            bucket.quota = tenant.quota / MS_PER_S

    def weight_factor(self, now: float, tenant: str, call_class: i.CallClass, call_fraction: float) -> float:
        """Returns the factor by which the weight of one more call of the tenant is multiplied.

        Every call takes a token, but only the weight of calls of the lowest weight is reduced:
        `call_fraction` is an estimate, and shedding one call of high weight costs more than serving several
        of low weight.
        """
        bucket = self.buckets.get(tenant)
        if bucket is None or bucket.take(now, call_fraction):
            return 1.0
        self.over_quota_calls += 1
        return self.over_weight if call_class.priority_weight <= self.min_weight else 1.0
