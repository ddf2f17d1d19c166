"""From the entries of traffic records to what dimensioning wants: counts by slot and holding times by
stream.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from softswitch.measure.recordfile import Contents, RecordFileError

BLOCKED = ("blocked", "refused_before", "refused_other", "processor_full", "failed", "given_up")


@dataclass(slots=True)
class Stream:
    """First tries of one destination and class; holding times are those of the class, wherever it stood."""

    dest: int
    call_class: str
    slot: float  # seconds
    first_attempts: list[int] = field(default_factory=list)
    redials: int = 0
    carried: int = 0
    lost_attempts: int = 0  # tries that did not stand, for whatever reason
    blocked: int = 0  # of these, for want of a circuit
    lost_seconds: float = 0.0  # that lost tries waited for their answer, together
    call_seconds: float = 0.0
    ended: int = 0
    sum_squared_hold: float = 0.0


@dataclass(slots=True)
class MeasuredTraffic:
    """All streams over the same slots, and what was left out."""

    slot: float
    seconds: float
    streams: list[Stream]
    notes: list[str]
    erlangs: dict[int, list[float]]  # calls up at each cell, mean by interval
    peaks: dict[int, int]


def intervals(contents: Sequence[Contents]) -> tuple[float, float, dict[float, list[dict[str, Any]]]]:
    """(interval, slot, entries by begin), of all files. RecordFileError where their lengths
    differ.
    """
    heads = [h for c in contents for h in c.heads]
    if not heads or not any(c.entries for c in contents):
        raise RecordFileError(
            f"{contents[0].path}: no whole interval was read; let the softswitch write one first"
        )
    kinds = {(h["interval_ms"], h["slot_ms"]) for h in heads}
    if len(kinds) > 1:
        raise RecordFileError(
            f"{contents[0].path}: intervals or slots of several lengths, {sorted(kinds)} ms; "
            "estimate files of one setting at a time"
        )
    ((interval, slot),) = kinds
    by_begin: dict[float, list[dict[str, Any]]] = {}
    for c in contents:
        for entry in c.entries:
            by_begin.setdefault(round(entry["begin"]), []).append(entry)
    return interval, slot, by_begin


def aggregate_streams(contents: Sequence[Contents]) -> MeasuredTraffic:
    """Streams of one or more softswitches' records together, slot by slot on their common clock.

    Slots that no file covers in whole are left out, first and last ones as a rule; intervals that are missing
    between are left out too, and told. Raises RecordFileError.
    """
    interval, slot, by_begin = intervals(contents)
    slots, notes = round(interval / slot), [f"{c.path}: {c.stop_reason}" for c in contents if c.stop_reason]
    found: dict[tuple[int, str], Stream] = {}
    holds: dict[str, list[float]] = {}
    erlangs: dict[int, list[float]] = {}
    peaks: dict[int, int] = {}
    keys = {(a["dest"], a["class"]) for es in by_begin.values() for e in es for a in e["arrivals"]}
    cells = {o["cell"] for es in by_begin.values() for e in es for o in e["occupied"]}
    begins, total, missing = sorted(by_begin), 0, 0
    for n, begin in enumerate(begins):
        if n and begin - begins[n - 1] > 1.5 * interval:
            missing += round((begin - begins[n - 1]) / interval) - 1
        entries = by_begin[begin]
        since, to = min(e["from"] for e in entries), max(e["to"] for e in entries)
        low = 0 if since - begin < 1 else int(-(-(since - begin) // slot))
        high = min(slots, int((to - begin + 1) // slot))
        rows = {key: [0] * slots for key in keys}
        for e in entries:
            for a in e["arrivals"]:
                row = rows[a["dest"], a["class"]]
                for k, count in enumerate(a["first"]):
                    row[k] += count
                stream = found.setdefault((a["dest"], a["class"]), Stream(a["dest"], a["class"], slot / 1000))
                stream.redials += sum(a["redials"])
            for r in e["routes"]:
                key = (r["tried"], r["class"])
                if key in keys:
                    stream = found.setdefault(key, Stream(*key, slot / 1000))
                    stream.carried += r["carried"] + r["late"]
                    stream.lost_attempts += sum(r[w] for w in BLOCKED)
                    stream.blocked += r["blocked"] + r["refused_before"]
                    stream.lost_seconds += r["lost_ms"] / 1000
            for o in e["occupied"]:
                sums = holds.setdefault(o["class"], [0.0, 0, 0.0])
                sums[0] += o["call_ms"] / 1000
                sums[1] += o["ended"]
                sums[2] += o["held_s2"]
                peaks[o["cell"]] = max(peaks.get(o["cell"], 0), o["peak"])
        for cell in cells:
            call_ms = sum(o["call_ms"] for e in entries for o in e["occupied"] if o["cell"] == cell)
            erlangs.setdefault(cell, []).append(call_ms / max(1.0, to - since))
        if high > low:
            total += high - low
            for key, row in rows.items():
                found.setdefault(key, Stream(*key, slot / 1000)).first_attempts += row[low:high]
    idle = [not any(column) for column in zip(*(s.first_attempts for s in found.values()), strict=True)]
    if total and not all(idle):  # before the first call and after the last one nothing was offered
        low, high = idle.index(False), total - idle[::-1].index(False)
        if low or high < total:
            notes.append(
                f"{(total - high + low) * slot / 1000:g} s before the first call and after the last "
                "are left out"
            )
        total = high - low
        for stream in found.values():
            stream.first_attempts = stream.first_attempts[low:high]
    for stream in found.values():
        stream.call_seconds, ended, stream.sum_squared_hold = holds.get(stream.call_class, [0.0, 0, 0.0])
        stream.ended = int(ended)
    if missing:
        notes.append(f"{missing} intervals between the first and the last were not written, and are left out")
    return MeasuredTraffic(
        slot / 1000, total * slot / 1000, [found[k] for k in sorted(found)], notes, erlangs, peaks
    )
