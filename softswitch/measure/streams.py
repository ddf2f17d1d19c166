"""Aggregates traffic records for dimensioning: counts by slot and holding times by stream."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from softswitch.measure.recordfile import Contents, RecordFileError

LOST_OUTCOMES = ("blocked", "refused_before", "refused_other", "processor_full", "failed", "given_up")


@dataclass(slots=True)
class Stream:
    """Measurements of one destination and class. The holding times are those of the class over all cells."""

    dest: int
    call_class: str
    slot: float  # seconds
    first_attempts: list[int] = field(default_factory=list)
    redials: int = 0
    carried: int = 0
    lost_attempts: int = 0  # attempts that failed for any reason
    blocked: int = 0  # lost attempts that found no circuit, or were rejected before one was requested
    lost_seconds: float = 0.0  # total time from the start to the end of the lost attempts
    call_seconds: float = 0.0  # time integral of the number of established calls of the class
    ended: int = 0  # calls of the class that ended
    sum_squared_hold: float = 0.0  # sum of their squared durations, in seconds squared


@dataclass(slots=True)
class MeasuredTraffic:
    """All streams over the same slots, with notes about omitted data."""

    slot: float  # seconds
    seconds: float  # total length of all slots
    streams: list[Stream]
    notes: list[str]
    erlangs: dict[int, list[float]]  # carried load by cell: the mean of each interval
    peaks: dict[int, int]  # max established calls of each cell


def intervals(contents: Sequence[Contents]) -> tuple[float, float, dict[float, list[dict[str, Any]]]]:
    """Returns (interval, slot, entries by start) of all files, in milliseconds.

    Raises RecordFileError if there are no entries, or if the lengths of intervals or slots differ.
    """
    heads = [h for c in contents for h in c.heads]
    if not heads or not any(c.entries for c in contents):
        raise RecordFileError(
            f"{contents[0].path}: no complete interval was read; let the softswitch write one first"
        )
    lengths = {(h["interval_ms"], h["slot_ms"]) for h in heads}
    if len(lengths) > 1:
        raise RecordFileError(
            f"{contents[0].path}: intervals or slots have different lengths, {sorted(lengths)} ms; "
            "estimate files of one setting at a time"
        )
    ((interval, slot),) = lengths
    by_start: dict[float, list[dict[str, Any]]] = {}
    for c in contents:
        for entry in c.entries:
            by_start.setdefault(round(entry["begin"]), []).append(entry)
    return interval, slot, by_start


def aggregate_streams(contents: Sequence[Contents]) -> MeasuredTraffic:
    """Adds up the records of one or more softswitches by stream, slot by slot in Unix time.

    Slots that no file covers completely are omitted, usually at the start and the end. Missing intervals in
    between are omitted too, and counted in the notes. Raises RecordFileError.
    """
    interval, slot, by_start = intervals(contents)
    slots, notes = round(interval / slot), [f"{c.path}: {c.stop_reason}" for c in contents if c.stop_reason]
    streams: dict[tuple[int, str], Stream] = {}
    hold_sums: dict[str, list[float]] = {}  # by class: call seconds, ended calls, sum of squared durations
    erlangs: dict[int, list[float]] = {}
    peaks: dict[int, int] = {}
    keys = {(a["dest"], a["class"]) for es in by_start.values() for e in es for a in e["arrivals"]}
    cells = {o["cell"] for es in by_start.values() for e in es for o in e["occupied"]}
    starts, total, missing = sorted(by_start), 0, 0
    for n, start in enumerate(starts):
        if n and start - starts[n - 1] > 1.5 * interval:
            missing += round((start - starts[n - 1]) / interval) - 1
        entries = by_start[start]
        covered_from, covered_to = min(e["from"] for e in entries), max(e["to"] for e in entries)
        # The slots from `low` to before `high` are covered completely; 1 ms is tolerated at both ends.
        low = 0 if covered_from - start < 1 else int(-(-(covered_from - start) // slot))
        high = min(slots, int((covered_to - start + 1) // slot))
        rows = {key: [0] * slots for key in keys}
        for e in entries:
            for a in e["arrivals"]:
                row = rows[a["dest"], a["class"]]
                for k, count in enumerate(a["first"]):
                    row[k] += count
                stream = streams.setdefault(
                    (a["dest"], a["class"]), Stream(a["dest"], a["class"], slot / 1000)
                )
                stream.redials += sum(a["redials"])
            for r in e["routes"]:
                key = (r["tried"], r["class"])
                if key in keys:
                    stream = streams.setdefault(key, Stream(*key, slot / 1000))
                    stream.carried += r["carried"] + r["late"]
                    stream.lost_attempts += sum(r[w] for w in LOST_OUTCOMES)
                    stream.blocked += r["blocked"] + r["refused_before"]
                    stream.lost_seconds += r["lost_ms"] / 1000
            for o in e["occupied"]:
                sums = hold_sums.setdefault(o["class"], [0.0, 0, 0.0])
                sums[0] += o["call_ms"] / 1000
                sums[1] += o["ended"]
                sums[2] += o["held_s2"]
                peaks[o["cell"]] = max(peaks.get(o["cell"], 0), o["peak"])
        for cell in cells:
            call_ms = sum(o["call_ms"] for e in entries for o in e["occupied"] if o["cell"] == cell)
            erlangs.setdefault(cell, []).append(call_ms / max(1.0, covered_to - covered_from))
        if high > low:
            total += high - low
            for key, row in rows.items():
                streams.setdefault(key, Stream(*key, slot / 1000)).first_attempts += row[low:high]
    idle = [not any(column) for column in zip(*(s.first_attempts for s in streams.values()), strict=True)]
    if total and not all(idle):  # no traffic is offered before the first call and after the last one
        low, high = idle.index(False), total - idle[::-1].index(False)
        if low or high < total:
            notes.append(
                f"{(total - high + low) * slot / 1000:g} s before the first call and after the last "
                "are left out"
            )
        total = high - low
        for stream in streams.values():
            stream.first_attempts = stream.first_attempts[low:high]
    for stream in streams.values():
        stream.call_seconds, ended, stream.sum_squared_hold = hold_sums.get(stream.call_class, [0.0, 0, 0.0])
        stream.ended = int(ended)
    if missing:
        notes.append(f"{missing} intervals between the first and the last were not written, and are left out")
    return MeasuredTraffic(
        slot / 1000, total * slot / 1000, [streams[k] for k in sorted(streams)], notes, erlangs, peaks
    )
