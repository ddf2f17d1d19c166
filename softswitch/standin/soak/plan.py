"""The plan of a soak, generated from its seed: sizes, settings, and the faults with their times.

A seed always generates the same plan. Times are in s; times of the settings are in ms.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum
from random import Random
from typing import Any

MAX_COUNTED_DEADLINE = 3.0  # s; at a shutdown, a longer deadline of a call class counts as this
MAX_COUNTED_DEADLINE_REPLACED = 5.0  # s; the same if another process has taken over
STOP_ALLOWANCE = 0.7  # s after the longest counted deadline, until SIGKILL is allowed
FIRST_EPISODE = 2.0  # s; earliest time of the first series of signals
EPISODE_GAP = (6.0, 9.0)  # s between two series of signals at one softswitch
TICKS = (1.0, 2.0, 5.0, 10.0, 20.0)  # ms; choices for the setting `tick`
DRAIN_SECONDS = (3.0, 15.0)  # s from an engine's drain to its end
IDEMPOTENCY = ("read_like", "non_idempotent", "other")


class Signals(StrEnum):
    """A series of signals to one softswitch."""

    RELOAD_TWICE = "SIGHUP during SIGHUP"
    STOP_TWICE = "SIGTERM twice"
    RELOAD_STOP = "SIGHUP, then SIGTERM"
    STOP_IN_START = "SIGTERM during the start"
    REPLACE = "replacement"
    REPLACE_DRAINED = "replacement during a drain"


class EngineFault(StrEnum):
    """A fault of a whole engine."""

    HANG = "hangs"
    RESET = "resets its connections"
    DRAIN = "drains, goes and comes back cold"  # drains, stops and restarts


class AttemptFault(StrEnum):
    """What an engine does with an attempt instead of serving it."""

    FULL = "processor full, with a wait"  # rejected, with a time until the next attempt
    NO_CIRCUIT = "no circuit"
    ERROR = "error"
    BUSY = "number busy"
    RESET = "reset"
    SILENT = "no answer"


FaultMix = tuple[tuple[AttemptFault, float], ...]  # faults with their weights

# A rejection for a full processor closes the softswitch's gate to that engine for a long time, and calls that
# the closed gate rejects are not retried. Therefore only one mix contains it.
FAULT_MIXES: tuple[FaultMix, ...] = (
    ((AttemptFault.BUSY, 8.0), (AttemptFault.RESET, 1.0)),
    ((AttemptFault.BUSY, 8.0), (AttemptFault.ERROR, 1.0)),
    ((AttemptFault.BUSY, 6.0), (AttemptFault.NO_CIRCUIT, 4.0), (AttemptFault.RESET, 1.0)),
    tuple((fault, 1.0) for fault in AttemptFault),
)
# The faults, and the fraction of attempts with one, if no class may be retried after an attempt that may have
# run.
NO_CIRCUIT_ONLY: FaultMix = ((AttemptFault.NO_CIRCUIT, 1.0),)
NO_CIRCUIT_FRACTION = 0.3


@dataclass(frozen=True, slots=True)
class Pressure:
    """Faults that cause retries, and callers that abandon or release calls."""

    faulty_attempts: float  # fraction of attempts
    attempt_faults: FaultMix
    drains: tuple[tuple[float, int, float], ...]  # (start, index of the engine, duration)
    leave_early: float  # fraction of setups that callers abandon before their deadline
    hang_up: float  # fraction of established calls that callers release


@dataclass(frozen=True, slots=True)
class CallClassPlan:
    """A call class."""

    name: str
    aim: float  # latency objective, ms
    hard_limit: float  # deadline, ms
    idempotency: str
    worth: float  # priority weight

    @property
    def idempotent(self) -> bool:
        """Whether a call may be retried after an attempt that may have run."""
        return self.idempotency == "read_like"

    def as_lane(self) -> dict[str, Any]:
        """Returns the class as an entry of the settings' `lanes` key."""
        return {
            "name": self.name,
            "aim": self.aim,
            "hard_limit": self.hard_limit,
            "idempotency": self.idempotency,
            "credit": self.worth,
            "late_value": 0.2,
        }


@dataclass(frozen=True, slots=True)
class Episode:
    """A series of signals to one softswitch, with its time."""

    at: float
    softswitch: int  # index
    signals: Signals
    gap: float  # s from the first signal, or the start, to the second signal


@dataclass(frozen=True, slots=True)
class EngineEpisode:
    """A fault of one engine, with its time."""

    at: float
    engine: int  # index; the fault affects this engine of each softswitch
    fault: EngineFault
    seconds: float  # duration, if the fault has one


@dataclass(frozen=True, slots=True)
class Crowd:
    """Many idle or half-written connections, and many simultaneous setups."""

    at: float
    idle: int
    half_written: int
    setups: int


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one soak."""

    seed: int
    seconds: float
    softswitches: int
    engines: int
    rate: float  # calls per s, over all softswitches
    tick: float  # ms
    classes: tuple[CallClassPlan, ...]
    clear_wait: float  # retry delay, ms
    max_attempts: int
    may_cancel: bool  # this and the next two are settings of the softswitches
    probes: bool
    retry_after: bool
    descriptors: int  # max open descriptors of a process
    memory_mb: int  # max memory of a process
    signals: tuple[Episode, ...]
    faults: tuple[EngineEpisode, ...]
    silent_board: tuple[tuple[float, float], ...]  # silences of the watch servers: (start, duration)
    crowds: tuple[Crowd, ...]
    pressure: Pressure

    def kill_after(self, replaced: bool) -> float:
        """Returns the time in s from SIGTERM to the earliest SIGKILL that the platform's rules allow."""
        max_deadline = MAX_COUNTED_DEADLINE_REPLACED if replaced else MAX_COUNTED_DEADLINE
        return min(max_deadline, max(c.hard_limit for c in self.classes) / 1000) + STOP_ALLOWANCE

    def settings(self) -> dict[str, Any]:
        """Returns the softswitches' settings in the form of the platform's configuration."""
        return {
            "family": "trunks",
            "fleet_size": self.softswitches,
            "family_info": {
                "network_form": "groups",
                "own_number": -1,
                "clear_wait": self.clear_wait,
                "repeat": 500.0,
                "holding": [2000.0] * len(self.classes),
            },
            "lanes": [c.as_lane() for c in self.classes],
            "limits": {
                "may_cancel": self.may_cancel,
                "probes": self.probes,
                "send_cap": self.max_attempts,
                "retry_after": self.retry_after,
                "max_retry_after": 2000.0,
            },
            "rules": {"cold": 2000.0, "cold_from": 0.3, "overload_factor": 3.0, "overload_for": 1000.0},
            "stats": {"fields": ["x0", "x1", "qps"], "how": "answers"},
            "tick": self.tick,
        }

    def report(self) -> dict[str, Any]:
        """Returns all fields, under their names, for a JSON object."""
        return asdict(self)


def generate_plan(seed: int, seconds: float) -> Plan:
    """Generates the plan of a seed."""
    rng = Random(f"soak {seed}")
    softswitches, engines = rng.randint(1, 3), rng.randint(2, 4)
    classes = tuple(_generate_class(rng, n) for n in range(rng.randint(1, 3)))
    return Plan(
        seed=seed,
        seconds=seconds,
        softswitches=softswitches,
        engines=engines,
        rate=rng.uniform(10.0, 60.0),
        tick=rng.choice(TICKS),
        classes=classes,
        clear_wait=rng.choice((0.0, 200.0, 350.0)),
        max_attempts=rng.randint(1, 6),
        may_cancel=rng.random() < 0.5,
        probes=rng.random() < 0.7,
        retry_after=rng.random() < 0.7,
        descriptors=rng.choice((128, 256)),
        memory_mb=rng.choice((48, 64)),
        signals=_generate_signals(rng, softswitches, seconds),
        faults=_generate_faults(rng, engines, seconds),
        silent_board=_generate_silences(rng, seconds),
        crowds=_generate_crowds(rng, seconds),
        pressure=_generate_pressure(Random(f"pressure {seed}"), classes, engines, seconds),
    )


def _generate_pressure(
    rng: Random, classes: tuple[CallClassPlan, ...], engines: int, seconds: float
) -> Pressure:
    """Uses a generator of its own: adding `Pressure` left the rest of each seed's plan unchanged."""
    has_retries = any(c.idempotent for c in classes)
    return Pressure(
        faulty_attempts=rng.uniform(0.4, 0.6) if has_retries else NO_CIRCUIT_FRACTION,
        attempt_faults=rng.choice(FAULT_MIXES) if has_retries else NO_CIRCUIT_ONLY,
        drains=_generate_drains(rng, engines, seconds),
        leave_early=rng.uniform(0.0, 0.2),
        hang_up=rng.uniform(0.05, 0.3),
    )


def _generate_drains(rng: Random, engines: int, seconds: float) -> tuple[tuple[float, int, float], ...]:
    """Drains one or two engines, possibly at the same time. At least one engine stays."""
    drained = rng.sample(range(engines), min(engines - 1, rng.randint(1, 2)))
    return tuple((rng.uniform(1.0, seconds / 2), n, rng.uniform(*DRAIN_SECONDS)) for n in drained)


def _generate_class(rng: Random, n: int) -> CallClassPlan:
    hard_limit = rng.uniform(700.0, 5000.0)
    aim = hard_limit * rng.uniform(0.3, 0.9)
    return CallClassPlan(f"class-{n}", aim, hard_limit, rng.choice(IDEMPOTENCY), rng.uniform(0.5, 5.0))


def _generate_signals(rng: Random, softswitches: int, seconds: float) -> tuple[Episode, ...]:
    """Generates series of signals, the last of which ends before the soak."""
    episodes = []
    for n in range(softswitches):
        at = FIRST_EPISODE + rng.uniform(0.0, EPISODE_GAP[0])
        while at < seconds - EPISODE_GAP[0]:
            episodes.append(Episode(at, n, rng.choice(list(Signals)), rng.uniform(0.0, 0.3)))
            at += rng.uniform(*EPISODE_GAP)
    return tuple(sorted(episodes, key=lambda e: e.at))


def _generate_faults(rng: Random, engines: int, seconds: float) -> tuple[EngineEpisode, ...]:
    """Spares the first engine, so that one is always available."""
    faults = []
    for n in range(1, engines):
        at = rng.uniform(1.0, 6.0)
        while at < seconds - 5.0:
            fault = EngineEpisode(at, n, rng.choice(list(EngineFault)), rng.uniform(0.5, 4.0))
            faults.append(fault)
            at += fault.seconds + rng.uniform(3.0, 8.0)
    return tuple(sorted(faults, key=lambda f: f.at))


def _generate_silences(rng: Random, seconds: float) -> tuple[tuple[float, float], ...]:
    if rng.random() < 0.5:
        return ()
    return ((rng.uniform(2.0, max(2.0, seconds - 8.0)), rng.uniform(1.0, 6.0)),)


def _generate_crowds(rng: Random, seconds: float) -> tuple[Crowd, ...]:
    if rng.random() < 0.5:
        return ()
    at = rng.uniform(2.0, max(2.0, seconds - 4.0))
    return (Crowd(at, rng.randint(100, 2000), rng.randint(50, 500), rng.randint(100, 600)),)
