"""Predicted and observed blocking of several traffic patterns, on real sockets.

Each pattern runs a softswitch with stand-in engines of known circuits. The prediction uses only the traffic
record of the softswitch. All patterns run in parallel:
`python benchmarks/replay_sockets.py [SECONDS]` (default 150 s, about 3 minutes).
"""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from math import sqrt

HOLDING_TIME, LATENCY_OBJECTIVE = 1.0, 0.01  # s
MARGIN = 0.02  # the largest accepted difference between predicted and observed blocking


def traffic_patterns():
    """Returns the settings of each pattern's run (`standin.fleet.Day`) by the pattern's name."""
    from softswitch.standin.engine import EngineSettings
    from softswitch.standin.fleet import ClassSettings
    from softswitch.standin.traffic import StreamSettings

    def engine(n, circuits, **options):
        return EngineSettings(
            f"s-{n + 1:08x}", n, circuits, hold={"x": HOLDING_TIME, "wide": HOLDING_TIME}, **options
        )

    one, both = (
        (ClassSettings("x", LATENCY_OBJECTIVE, HOLDING_TIME),),
        (
            ClassSettings("x", LATENCY_OBJECTIVE, HOLDING_TIME),
            ClassSettings("wide", LATENCY_OBJECTIVE, HOLDING_TIME),
        ),
    )

    def stream(erlangs, call_class="x", **options):
        return StreamSettings(call_class, erlangs / HOLDING_TIME, **{"dest": 0} | options)

    switched = {"on": 2 * HOLDING_TIME, "off": 2 * HOLDING_TIME}
    surge = ((0.0, 0.7), (40.0, 1.6), (70.0, 0.7))
    return {
        "random": dict(engines=(engine(0, 20),), classes=one, streams=(stream(16),)),
        "peaky": dict(engines=(engine(0, 32),), classes=one, streams=(stream(16, **switched),)),
        "surge": dict(engines=(engine(0, 18),), classes=one, streams=(stream(14, profile=surge),)),
        "two widths": dict(
            engines=(engine(0, 30, widths={"wide": 3}),),
            classes=both,
            streams=(stream(12), stream(4, "wide", width=3)),
        ),
        "overflow": dict(
            engines=(engine(0, 8), engine(1, 14)),
            classes=one,
            streams=(stream(10, number="0"), stream(8, dest=1, number="1")),
        ),
        "overflow, reserve": dict(
            engines=(engine(0, 8), engine(1, 14, reserve=3, reserve_prefix="1")),
            classes=one,
            streams=(stream(10, number="0"), stream(8, dest=1, number="1")),
        ),
        "redials": dict(
            engines=(engine(0, 20),),
            classes=one,
            streams=(stream(17),),
            tries=4,
            redial_probability=0.8,
            redial_delay=4 * HOLDING_TIME,
        ),
    }


def run_pattern(name, seconds, seed):
    """Runs a pattern in this process; returns predicted and observed figures as a dict."""
    from softswitch.cli.trunks import make_sample
    from softswitch.dimension import loss, mutual, peaked_traffic, report, traffic, widths
    from softswitch.dimension.traffic import merge_samples
    from softswitch.measure.recordfile import read
    from softswitch.measure.streams import aggregate_streams
    from softswitch.standin.fleet import Day, Fleet

    day = Day(
        **traffic_patterns()[name],
        seconds=seconds,
        warm_up=10 * HOLDING_TIME,
        seed=seed,
        record_interval=10.0,
        record_slot=0.1,
        answer_timeout=2.0,
    )
    result = Fleet(day).run()
    streams = aggregate_streams([read(p) for p in result.records]).streams
    samples = {(s.dest, s.call_class): make_sample(s) for s in streams}
    estimates = {k: report.estimate_busiest(s) for k, s in samples.items()}
    circuits = [e.circuits for e in day.engines]
    erlangs = {k: entire.erlangs.value for k, (_, entire) in estimates.items()}
    tallies = result.tallies
    attempts = sum(t.tries for t in tallies.values())
    observed = sum(t.codes[503] + t.codes[500] for t in tallies.values()) / attempts
    total = sum(erlangs.values())
    lost = sum(s.lost_attempts for s in streams)
    # mean time that calls without a circuit were queued, in holding times
    queued = sum(s.lost_seconds for s in streams) / max(1, lost) / HOLDING_TIME
    queueing_factor = loss.loss_with_fixed_wait(sum(circuits), total, queued) / loss.erlang_b(
        sum(circuits), total
    )
    plain = loss.erlang_b(sum(circuits), total)
    details, need = {}, None
    if name == "peaky":
        best = estimates[0, "x"][0]
        z, phases = best.peakedness.value, traffic.phases(samples[0, "x"], best.hold.value)
        predicted = peaked_traffic.interrupted_poisson_blocking(circuits[0], total, *phases)[0]
        need = (
            loss.round_up(loss.circuits_for(total, 0.01)),
            loss.round_up(peaked_traffic.circuits_for(total, 0.01, z)),
        )
        details = {
            "two moments": round(peaked_traffic.blocking(circuits[0], total, z), 4),
            "phases": phases,
            "z": z,
            "z true": peaked_traffic.interrupted_poisson(16, 2, 2)[1],
        }
    elif name == "surge":
        segments, hold = estimates[0, "x"][1].segments, estimates[0, "x"][1].hold.value
        calls = [s.rate * (s.end - s.start) for s in segments]
        predicted = sum(
            c * loss.erlang_b(circuits[0], s.rate * hold) for c, s in zip(calls, segments, strict=True)
        ) / sum(calls)
        peak = max(s.rate for s in segments) * hold
        need = (loss.round_up(loss.circuits_for(total, 0.01)), loss.round_up(loss.circuits_for(peak, 0.01)))
        details = {"segments": [round(s.rate * hold, 2) for s in segments]}
    elif name == "two widths":
        blockings = widths.blocking(
            circuits[0], [widths.Stream(erlangs[0, "x"]), widths.Stream(erlangs[0, "wide"], 3)]
        )
        rates = [float(samples[0, k].first_attempts.sum()) for k in ("x", "wide")]
        predicted = sum(r * b for r, b in zip(rates, blockings, strict=True)) / sum(rates)
        by_class = {k: (t.codes[503] + t.codes[500]) / t.tries for (k, _), t in tallies.items()}
        details = {
            "by class": {
                k: [round(b, 4), round(by_class[k], 4)] for k, b in zip(("x", "wide"), blockings, strict=True)
            }
        }
        plain = loss.erlang_b(circuits[0], erlangs[0, "x"] + 3 * erlangs[0, "wide"])
    elif name.startswith("overflow"):
        reserve = (0, day.engines[1].reserve)
        both = mutual.pair((circuits[0], circuits[1]), (erlangs[0, "x"], erlangs[1, "x"]), reserve)
        predicted = (both.first * erlangs[0, "x"] + both.second * erlangs[1, "x"]) / total
        by_dest = {d: (t.codes[503] + t.codes[500]) / t.tries for (_, d), t in sorted(tallies.items())}
        details = {
            "by dest": [
                [round(both.first, 4), round(by_dest[0], 4)],
                [round(both.second, 4), round(by_dest[1], 4)],
            ]
        }
    elif name == "redials":
        # The number of attempts is limited, so the redial probability is the observed fraction of blocked
        # attempts that were redialed.
        redials = sum(s.redials for s in samples.values())
        blocked = sum(s.lost_attempts for s in streams)
        predicted, _ = loss.erlang_b_redials(circuits[0], total, min(0.99, redials / max(1, blocked)))
        details = {"again seen": round(redials / max(1, blocked), 3)}
    else:
        predicted = plain
    loss_only = predicted
    # The factor is exact for random traffic; for other traffic it is that of random traffic of the same load.
    predicted *= queueing_factor
    sample = merge_samples(list(samples.values()))
    # In the report, `noise` is the half-width of the 95% interval of `observed`, `without holding` the
    # prediction if no blocked call were queued, `held ms` the mean time that lost attempts were queued,
    # `plain` the Erlang B blocking, and `need` the circuits for 1% without and with regard to the pattern.
    # `held` tells whether the prediction is within MARGIN.
    return {
        "day": name,
        "calls": int(sample.first_attempts.sum()),
        "erlangs": round(total, 2),
        "observed": round(observed, 4),
        "noise": round(1.96 * sqrt(observed * (1 - observed) / attempts), 4),
        "predicted": round(predicted, 4),
        "without holding": round(loss_only, 4),
        "held ms": round(1000 * queued * HOLDING_TIME, 1),
        "plain": round(plain, 4),
        "need": need,
        "steady": all(entire.steady for _, entire in estimates.values()),
        **details,
        "held": abs(predicted - observed) <= MARGIN,
    }


def main():
    """Runs all patterns, each in a separate process, and prints one JSON object per pattern."""
    if len(sys.argv) == 4:
        print(json.dumps(run_pattern(sys.argv[1], float(sys.argv[2]), int(sys.argv[3]))))
        return
    seconds = sys.argv[1] if len(sys.argv) > 1 else "150"

    def run(name):
        completed = subprocess.run(
            [sys.executable, __file__, name, seconds, "11"], capture_output=True, text=True
        )
        return (
            json.loads(completed.stdout)
            if completed.returncode == 0
            else {"day": name, "failed": completed.stderr[-800:]}
        )

    with ThreadPoolExecutor(7) as pool:
        rows = list(pool.map(run, traffic_patterns()))
    for row in rows:
        print(json.dumps(row))
    within_margin = sum(bool(r.get("held")) for r in rows)
    print(f"{within_margin} of {len(rows)} patterns: predicted within {MARGIN} of observed")


if __name__ == "__main__":
    main()
