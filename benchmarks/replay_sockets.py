"""Traffic days on real sockets: predicted against observed blocking.

A softswitch and stand-in engines with known circuits play each day; the softswitch's own traffic record is
all that the prediction sees. All days run at once:
`python benchmarks/replay_sockets.py [SECONDS]` (default 150 s, about 3 minutes).
"""

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from math import sqrt

HOLD, AIM = 1.0, 0.01
MARGIN = 0.02  # predicted and observed blocking may lie so far apart


def days():
    from softswitch.standin.engine import EngineSettings
    from softswitch.standin.fleet import ClassSettings
    from softswitch.standin.traffic import StreamSettings

    def engine(n, circuits, **more):
        return EngineSettings(f"s-{n + 1:08x}", n, circuits, hold={"x": HOLD, "wide": HOLD}, **more)

    one, both = (
        (ClassSettings("x", AIM, HOLD),),
        (ClassSettings("x", AIM, HOLD), ClassSettings("wide", AIM, HOLD)),
    )

    def stream(erlangs, klass="x", **more):
        return StreamSettings(klass, erlangs / HOLD, **{"dest": 0} | more)

    switched = {"on": 2 * HOLD, "off": 2 * HOLD}
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
            redial_delay=4 * HOLD,
        ),
    }


def play(name, seconds, seed):
    """One day in this process: what was predicted and what was seen, as a dict."""
    from softswitch.cli.trunks import sample_of
    from softswitch.dimension import loss, mutual, peaked_traffic, report, traffic, widths
    from softswitch.dimension.traffic import joined
    from softswitch.measure.recordfile import read
    from softswitch.measure.streams import measured
    from softswitch.standin.fleet import Day, Fleet

    day = Day(
        **days()[name],
        seconds=seconds,
        warm_up=10 * HOLD,
        seed=seed,
        record_interval=10.0,
        record_slot=0.1,
        answer_timeout=2.0,
    )
    result = Fleet(day).run()
    streams = measured([read(p) for p in result.records]).streams
    samples = {(s.dest, s.klass): sample_of(s) for s in streams}
    found = {k: report.steady(s) for k, s in samples.items()}
    circuits = [e.circuits for e in day.engines]
    erlangs = {k: whole.erlangs.value for k, (_, whole) in found.items()}
    tallies = result.tallies
    tries = sum(t.tries for t in tallies.values())
    observed = sum(t.codes[503] + t.codes[500] for t in tallies.values()) / tries
    total = sum(erlangs.values())
    lost = sum(s.lost_tries for s in streams)
    # how long calls without a circuit were held
    held = sum(s.lost_seconds for s in streams) / max(1, lost) / HOLD
    waits = loss.erlang_held(sum(circuits), total, held) / loss.erlang_b(sum(circuits), total)
    plain = loss.erlang_b(sum(circuits), total)
    more, need = {}, None
    if name == "peaky":
        best = found[0, "x"][0]
        z, phases = best.peakedness.value, traffic.phases(samples[0, "x"], best.hold.value)
        predicted = peaked_traffic.switched_blocking(circuits[0], total, *phases)[0]
        need = (
            loss.whole(loss.circuits_for(total, 0.01)),
            loss.whole(peaked_traffic.circuits_for(total, 0.01, z)),
        )
        more = {
            "two moments": round(peaked_traffic.blocking(circuits[0], total, z), 4),
            "phases": phases,
            "z": z,
            "z true": peaked_traffic.switched(16, 2, 2)[1],
        }
    elif name == "surge":
        parts, hold = found[0, "x"][1].segments, found[0, "x"][1].hold.value
        calls = [p.rate * (p.to - p.since) for p in parts]
        predicted = sum(
            c * loss.erlang_b(circuits[0], p.rate * hold) for c, p in zip(calls, parts, strict=True)
        ) / sum(calls)
        peak = max(p.rate for p in parts) * hold
        need = (loss.whole(loss.circuits_for(total, 0.01)), loss.whole(loss.circuits_for(peak, 0.01)))
        more = {"segments": [round(p.rate * hold, 2) for p in parts]}
    elif name == "two widths":
        shares = widths.blocking(
            circuits[0], [widths.Stream(erlangs[0, "x"]), widths.Stream(erlangs[0, "wide"], 3)]
        )
        rates = [float(samples[0, k].first.sum()) for k in ("x", "wide")]
        predicted = sum(r * b for r, b in zip(rates, shares, strict=True)) / sum(rates)
        by_class = {k: (t.codes[503] + t.codes[500]) / t.tries for (k, _), t in tallies.items()}
        more = {
            "by class": {
                k: [round(b, 4), round(by_class[k], 4)] for k, b in zip(("x", "wide"), shares, strict=True)
            }
        }
        plain = loss.erlang_b(circuits[0], erlangs[0, "x"] + 3 * erlangs[0, "wide"])
    elif name.startswith("overflow"):
        reserve = (0, day.engines[1].reserve)
        both = mutual.pair((circuits[0], circuits[1]), (erlangs[0, "x"], erlangs[1, "x"]), reserve)
        predicted = (both.first * erlangs[0, "x"] + both.second * erlangs[1, "x"]) / total
        by_dest = {d: (t.codes[503] + t.codes[500]) / t.tries for (_, d), t in sorted(tallies.items())}
        more = {
            "by dest": [
                [round(both.first, 4), round(by_dest[0], 4)],
                [round(both.second, 4), round(by_dest[1], 4)],
            ]
        }
    elif name == "redials":
        # tries are limited, so the redial share of blocked tries is the one that was seen
        redials = sum(s.redials for s in samples.values())
        blocked = sum(s.lost_tries for s in streams)
        predicted, _ = loss.erlang_b_redials(circuits[0], total, min(0.99, redials / max(1, blocked)))
        more = {"again seen": round(redials / max(1, blocked), 3)}
    else:
        predicted = plain
    loss_only = predicted
    predicted *= waits  # exact for random calls; for the others, as far as for random calls of that load
    first = joined(list(samples.values()))
    return {
        "day": name,
        "calls": int(first.first.sum()),
        "erlangs": round(total, 2),
        "observed": round(observed, 4),
        "noise": round(1.96 * sqrt(observed * (1 - observed) / tries), 4),
        "predicted": round(predicted, 4),
        "without holding": round(loss_only, 4),
        "held ms": round(1000 * held * HOLD, 1),
        "plain": round(plain, 4),
        "need": need,
        "steady": all(w.steady for _, w in found.values()),
        **more,
        "held": abs(predicted - observed) <= MARGIN,
    }


def main():
    if len(sys.argv) == 4:
        print(json.dumps(play(sys.argv[1], float(sys.argv[2]), int(sys.argv[3]))))
        return
    seconds = sys.argv[1] if len(sys.argv) > 1 else "150"

    def run(name):
        ran = subprocess.run([sys.executable, __file__, name, seconds, "11"], capture_output=True, text=True)
        return json.loads(ran.stdout) if ran.returncode == 0 else {"day": name, "failed": ran.stderr[-800:]}

    with ThreadPoolExecutor(7) as pool:
        rows = list(pool.map(run, days()))
    for row in rows:
        print(json.dumps(row))
    good = sum(bool(r.get("held")) for r in rows)
    print(f"{good} of {len(rows)} days: predicted within {MARGIN} of observed")


if __name__ == "__main__":
    main()
