"""Tenants' quotas: which calls are beyond them, and so are the first to be shed when processors are short.

Each tenant has a token bucket (Turner, "New directions in communications", 1986): tokens come at this
softswitch's part of the quota, up to a burst, and each call takes one. A call that finds none is over its
quota. It is not rejected for that: the decision module serves calls by weight, so what is over goes last, and
is served while there is capacity. Times are in ms.
"""

from __future__ import annotations

from softswitch import interface as i

BURST = 2_000.0  # ms of its quota that a tenant may have saved up
MS_PER_S = 1_000.0


class TokenBucket:
    """One tenant's calls at this softswitch."""

    __slots__ = ("quota", "tokens", "updated_at")

    def __init__(self, quota: float) -> None:
        self.quota = quota  # calls per ms, of all softswitches together
        self.tokens = 0.0
        self.updated_at: float | None = None  # None: no call yet, and so a full bucket

    def take(self, now: float, part: float) -> bool:
        """Takes a token, with this part of the quota as its rate; false: there is none."""
        rate = self.quota * part
        burst = max(1.0, rate * BURST)
        gained = burst if self.updated_at is None else rate * (now - self.updated_at)
        self.tokens = min(burst, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TenantQuotas:
    """Owner of the buckets.

    Softswitches share nothing: each takes its share of all calls as its part of the quotas.
    """

    def __init__(self, settings: i.Settings) -> None:
        self.over_quota_calls = 0  # calls beyond their tenant's quota
        self.buckets: dict[str, TokenBucket] = {}
        self.apply(settings)

    def apply(self, settings: i.Settings) -> None:
        """These settings hold from now on; tenants that stay keep their tokens."""
        before, self.buckets = self.buckets, {}
        self.over_weight = settings.over_quota_weight
        self.min_weight = settings.min_weight
        for tenant in settings.tenants:
            bucket = self.buckets[tenant.name] = before.get(tenant.name) or TokenBucket(0.0)
            bucket.quota = tenant.quota / MS_PER_S

    def weight_share(self, now: float, tenant: str, call_class: i.CallClass, part: float) -> float:
        """The share of its class's weight that one more call of the tenant has.

        Every call takes a token, and only those of the lowest weight are counted down: the part is an
        estimate, and a dear call that is shed by mistake costs more than several cheap ones that are kept.
        """
        bucket = self.buckets.get(tenant)
        if bucket is None or bucket.take(now, part):
            return 1.0
        self.over_quota_calls += 1
        return self.over_weight if call_class.priority_weight <= self.min_weight else 1.0
