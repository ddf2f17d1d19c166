"""The messages to one engine that are not written yet, and the releases that it has not acknowledged.

A release is queued until a connection takes it, then unacknowledged, and queued again if its connection is
lost. It leaves by an acknowledgement, by ACKNOWLEDGE_TIMEOUT or after MAX_TRANSMISSIONS. All times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

from softswitch.core.call import Call
from softswitch.interface import CallId
from softswitch.net.engine_codec import Release

MAX_QUEUED = 4_096  # messages
ACKNOWLEDGE_TIMEOUT = 1_000.0  # ms after which a written release counts as received
# Of one release, each on another connection. An engine that cannot read a message closes the connection, and
# all call setups behind the message are lost with it.
MAX_TRANSMISSIONS = 3


@dataclass(slots=True)
class PendingRelease:
    """A release that is queued, or that was written and is not acknowledged yet."""

    release: Release
    transmissions: int = 0
    sent_at: float = 0.0  # of the last transmission


class EngineQueue:
    """Owns the queued call setups and releases for one engine, and the unacknowledged releases."""

    def __init__(self) -> None:
        # By call id. Releases are written first: the release of an abandoned attempt may be queued together
        # with a new attempt of the same call, which must neither replace nor overtake it.
        self.releases: dict[CallId, PendingRelease] = {}
        self.setups: dict[CallId, Call] = {}  # not written yet, so they can still be withdrawn
        # Releases of established calls, oldest first. A reset of the connection may lose them, and nothing
        # else notifies the engine, so they are written again on the next connection.
        self.unacknowledged: dict[CallId, PendingRelease] = {}

    def __len__(self) -> int:
        return len(self.releases) + len(self.setups)

    @property
    def is_full(self) -> bool:
        """Whether no more messages may be queued."""
        return len(self) >= MAX_QUEUED

    def add_setup(self, call: Call) -> None:
        """Queues a call setup."""
        self.setups[call.id] = call

    def add_release(self, release: Release) -> None:
        """Queues a release."""
        self.releases[release.call] = PendingRelease(release)

    def withdraw_setup(self, call: CallId) -> bool:
        """Removes a call setup. Returns whether it was still queued."""
        return self.setups.pop(call, None) is not None

    def pop_release(self) -> PendingRelease | None:
        """Removes and returns the next release; None if there is none."""
        return self.releases.pop(next(iter(self.releases))) if self.releases else None

    def pop_setup(self) -> Call | None:
        """Removes and returns the next call setup; None if there is none."""
        return self.setups.pop(next(iter(self.setups))) if self.setups else None

    def take_over(self, other: EngineQueue) -> None:
        """Moves the queued messages of another queue in front of those of this one."""
        self.releases = other.releases | self.releases
        self.setups = other.setups | self.setups
        other.releases, other.setups = {}, {}

    # written releases

    def release_written(self, now: float, pending: PendingRelease) -> None:
        """Records the transmission of a release, which is to be acknowledged."""
        pending.transmissions += 1
        pending.sent_at = now
        self.unacknowledged[pending.release.call] = pending

    def acknowledged(self, call: CallId) -> None:
        """Records that the engine has received a release."""
        self.unacknowledged.pop(call, None)

    def expire_unacknowledged(self, now: float) -> None:
        """Removes releases older than ACKNOWLEDGE_TIMEOUT, which count as received."""
        while self.unacknowledged:
            call, pending = next(iter(self.unacknowledged.items()))
            if now - pending.sent_at <= ACKNOWLEDGE_TIMEOUT:
                return
            del self.unacknowledged[call]

    def requeue_unacknowledged(self) -> tuple[int, int]:
        """Queues the unacknowledged releases of a lost connection again.

        Returns how many were queued, and how many were dropped after MAX_TRANSMISSIONS.
        """
        pending, self.unacknowledged = self.unacknowledged, {}
        again = {c: p for c, p in pending.items() if p.transmissions < MAX_TRANSMISSIONS}
        self.releases |= {call: p for call, p in again.items() if call not in self.releases}
        return len(again), len(pending) - len(again)
