"""Compares traffic estimates, the planner and the simulation with theory, brute force and each other."""

import json
import subprocess
import sys
from math import inf
from random import Random

import numpy as np
import pytest

from softswitch import cli
from softswitch.dimension import (
    loss,
    mutual,
    network,
    peaked_traffic,
    planner,
    report,
    simulate,
    traffic,
    widths,
)
from softswitch.dimension.loss import OutOfRangeError
from softswitch.dimension.network import Group, Stream


def sample(erlangs, seconds, seed, slot=0.1, circuits=10_000, **demand):
    record = simulate.run(
        [simulate.Group("g", circuits)],
        [simulate.Demand("x", erlangs, ("g",), **demand)],
        seconds,
        seed,
        warm_up=10.0,
        slot=slot,
    ).records["x"]
    return traffic.Sample(
        record.slot,
        record.first_attempts,
        record.erlang_time,
        record.ended,
        record.sum_squared_hold,
        int(record.redials.sum()),
    )


def test_simulation_agrees_with_theory():
    result = simulate.run([simulate.Group("g", 10)], [simulate.Demand("x", 8, ("g",))], 20_000, 1, warm_up=20)
    x = result.demands["x"]
    assert x.lost / x.calls == pytest.approx(loss.erlang_b(10, 8), rel=0.03)
    assert result.carried["g"] == pytest.approx(8 * (1 - loss.erlang_b(10, 8)), rel=0.02)
    wide = simulate.run(
        [simulate.Group("g", 20)],
        [simulate.Demand("a", 8, ("g",)), simulate.Demand("b", 2, ("g",), width=4)],
        20_000,
        2,
        warm_up=20,
    )
    expected = widths.blocking(20, [widths.Stream(8), widths.Stream(2, 4)])
    simulated = [wide.demands[n].lost / wide.demands[n].calls for n in ("a", "b")]
    assert simulated == pytest.approx(expected, rel=0.08)
    both = simulate.run(
        [simulate.Group("1", 8), simulate.Group("2", 14, reserve=3)],
        [simulate.Demand("a", 10, ("1", "2")), simulate.Demand("b", 8, ("2", "1"))],
        20_000,
        3,
        warm_up=20,
    )
    pair = mutual.pair((8, 14), (10, 8), (0, 3))
    assert both.demands["a"].lost / both.demands["a"].calls == pytest.approx(pair.first, rel=0.05)
    assert both.demands["b"].lost / both.demands["b"].calls == pytest.approx(pair.second, rel=0.12)
    unreserved = mutual.pair((8, 14), (10, 8))
    assert unreserved.first == pytest.approx(loss.erlang_b(22, 18)) == pytest.approx(unreserved.second)
    # The mean of the overflow, and the blocking of an interrupted Poisson process.
    over = simulate.run(
        [simulate.Group("1", 6), simulate.Group("2", 10_000)],
        [simulate.Demand("a", 8, ("1", "2"))],
        20_000,
        4,
        warm_up=20,
    )
    assert over.carried["2"] == pytest.approx(peaked_traffic.overflow(6, 8)[0], rel=0.04)
    peaks = simulate.run([simulate.Group("g", 16)], [simulate.Demand("x", 8, ("g",), on=2, off=2)], 40_000, 5)
    x, z = peaks.demands["x"], peaked_traffic.interrupted_poisson(8, 2, 2)[1]
    assert x.lost / x.calls == pytest.approx(
        peaked_traffic.interrupted_poisson_blocking(16, 8, 2, 2)[0], rel=0.05
    )
    # The equivalent random method, which has two moments only, is less accurate.
    assert x.lost / x.calls == pytest.approx(peaked_traffic.wilkinson(16, 8, 8 * z), rel=0.65)
    assert x.lost / x.calls > 5 * loss.erlang_b(
        16, 8
    )  # plain Erlang B understates the loss by more than this factor


def test_all_networks_are_offered_the_same_calls():
    demands = [simulate.Demand("a", 5, ("g",)), simulate.Demand("b", 3, ("g",), on=1, off=3)]
    runs = [simulate.run([simulate.Group("g", n)], demands, 500, 7, slot=1.0) for n in (4, 40, 4)]
    assert np.array_equal(runs[0].records["b"].first_attempts, runs[1].records["b"].first_attempts)
    assert runs[0].demands == runs[2].demands
    assert runs[0].carried == runs[2].carried
    assert runs[0].demands["a"].lost > runs[1].demands["a"].lost == 0


def test_confidence_intervals_have_their_nominal_coverage():
    """120 short samples of each type: with 95% coverage, the probability of fewer than 105 is 1 in 1,000."""
    for seconds, demand in ((5.0, {}), (100.0, {}), (150.0, {"on": 2.0, "off": 4.0})):
        covered = 0
        for seed in range(120):
            estimate = traffic.estimate(sample(10.0, seconds, seed, max(0.1, seconds / 1000), **demand))
            covered += estimate.erlangs.low <= 10 <= estimate.erlangs.high
        assert covered >= 105, (seconds, demand, covered)


def test_blocking_and_redials_do_not_bias_the_estimate():
    estimate = traffic.estimate(sample(10.0, 2_000.0, 3, circuits=8, again=0.9, tries=5))
    assert estimate.erlangs.low < 10 < estimate.erlangs.high
    assert estimate.erlangs.half_width < 0.04
    assert estimate.redial_share > 0.15


def test_peakedness_and_a_surge_are_detected():
    z = peaked_traffic.interrupted_poisson(10, 2.0, 4.0)[1]
    estimate = traffic.estimate(sample(10.0, 3_000.0, 5, on=2.0, off=4.0))
    assert estimate.method == "batches"
    assert estimate.steady
    assert estimate.peakedness.low < z < estimate.peakedness.high
    assert 0.6 * z < estimate.peakedness.value < 1.6 * z
    surge = sample(10.0, 1_200.0, 6, profile=((400.0, 2.0), (800.0, 1.0)))
    best, complete = report.estimate_busiest(surge)
    assert not complete.steady
    assert len(complete.segments) == 3
    assert [p.end for p in complete.segments[:2]] == pytest.approx([400, 800], abs=25)
    assert best.erlangs.low < 20 < best.erlangs.high  # the busiest segment, and not the average of 13.3
    assert any("did not stand still" in line for line in report.notes("x", best, complete, 0.05))
    steady = sum(traffic.estimate(sample(10.0, 600.0, seed)).steady for seed in range(30))
    assert steady >= 28


def test_a_short_sample_gets_a_note_and_an_interval():
    best, complete = report.estimate_busiest(sample(10.0, 5.0, 1))
    notes = report.notes("x", best, complete, 0.05)
    assert "known to ±" in notes[0]
    assert "longer" in notes[0]
    need = report.required_circuits(best, 0.01)
    assert need.low < need.middle < need.high
    # After the further measurement that the note requests, the precision is reached within a fifth.
    longer = traffic.estimate(sample(10.0, 5.0 + best.more_seconds, 2))
    assert longer.erlangs.half_width < 0.06
    with pytest.raises(OutOfRangeError, match="measure longer"):
        traffic.estimate(traffic.Sample(1.0, np.array([1.0, 0.0]), 1.0, 1, 1.0))


def random_network(seed, direct, max_modules, reserve=0):
    random = Random(seed)
    groups = [Group("f", random.choice((1, 2, 3, 6)), random.uniform(1, 4), 2 * max_modules, reserve=reserve)]
    streams = [Stream("sf", "f", random.uniform(1, 6), random.choice((0.01, 0.03)))]
    for k in range(direct):
        groups.append(Group(f"d{k}", random.choice((1, 2, 4)), random.uniform(0.5, 4), max_modules, "f"))
        streams.append(
            Stream(
                f"s{k}",
                f"d{k}",
                random.uniform(1, 10),
                random.choice((0.01, 0.02, 0.05)),
                random.choice((1, 1, 1.5)),
            )
        )
    return groups, streams


def test_the_plan_is_as_cheap_as_the_brute_force_plan():
    infeasible = 0
    for seed in range(30):
        groups, streams = random_network(seed, 1 + seed % 3, 4 + 2 * (seed % 2), reserve=seed % 4 == 3)
        try:
            best = planner.brute_force(groups, streams)[0]
        except planner.InfeasibleError:
            infeasible += 1
            with pytest.raises(planner.InfeasibleError, match="loses .* and may lose"):
                planner.plan(groups, streams)
            continue
        planned = planner.plan(groups, streams)
        assert planned.cost == pytest.approx(best) and not planned.service.missed(streams), seed
    assert 0 < infeasible < 20


def test_enumeration_and_integer_programs_find_the_same_cost(monkeypatch):
    groups, streams = random_network(2, 3, 6)
    best = planner.brute_force(groups, streams)[0]
    for rounds in (1, 3, 500):
        monkeypatch.setattr(planner, "MAX_PROGRAMS", rounds)
        assert planner.plan(groups, streams).cost == pytest.approx(best)


def test_a_plan_that_misses_its_targets_in_simulation_is_replaced(monkeypatch):
    groups, streams = random_network(2, 2, 10)
    streams = [Stream(s.name, s.group, s.erlangs, s.target) for s in streams]
    plain = planner.plan(groups, streams)
    verified, lost = planner.verified_plan(groups, streams)
    assert verified.cost >= plain.cost
    for s in streams:
        assert lost[s.name][0] - lost[s.name][1] <= s.target
    # The formulas report half of the loss, so that the first plan misses its targets.
    final_losses = planner.final_losses
    monkeypatch.setattr(planner, "final_losses", lambda *a: {k: 0.5 * m for k, m in final_losses(*a).items()})
    wrong = planner.plan(groups, streams)
    assert wrong.cost < plain.cost
    corrected, lost = planner.verified_plan(groups, streams)
    assert corrected.cost > wrong.cost
    assert all(lost[s.name][0] - lost[s.name][1] <= s.target for s in streams)


def test_what_if_evaluates_a_plan_at_all_points_of_the_estimate():
    groups, streams = random_network(2, 2, 8)
    streams = [
        Stream(s.name, s.group, s.erlangs, s.target, s.peakedness, 0.9 * s.erlangs, 1.1 * s.erlangs)
        for s in streams
    ]
    planned = planner.plan(groups, streams, "middle")
    services = planner.what_if(groups, streams, planned.circuits)
    assert not services["middle"].missed(streams)
    assert not services["low"].missed(streams)
    for s in streams:
        assert (
            services["low"].lost[s.name] <= services["middle"].lost[s.name] <= services["high"].lost[s.name]
        )
    without_final = planner.what_if(groups, streams, planned.circuits, "f")["middle"]
    assert without_final.lost["sf"] == pytest.approx(1.0)
    assert without_final.missed(streams)
    assert planner.what_if(groups, streams, planned.circuits, "", 2.0)["middle"].missed(streams)
    with pytest.raises(OutOfRangeError, match="nowhere"):
        planner.what_if(groups, streams, planned.circuits, "nowhere")


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["blocking", "--erlangs", "-1", "--circuits", "5"], "erlangs is -1"),
        (["blocking", "--erlangs", "nan", "--circuits", "5"], "erlangs is nan"),
        (["circuits", "--erlangs", "5", "--target", "0"], "target is 0"),
        (["circuits", "--erlangs", "5", "--target", "1"], "target is 1"),
        (
            ["blocking", "--erlangs", "5", "--circuits", "5", "--redials", "0.5", "--peakedness", "2"],
            "--redials goes",
        ),
        (["estimate", "/nowhere.whtr"], "/nowhere.whtr: can't be read"),
        (["plan", "/nowhere.json"], "/nowhere.json: can't be read"),
        (["plan", "FILE", "--at", "top"], "--at is 'top'"),
        (["whatif", "FILE", "--circuits", "z=3"], "'z=3' is no NAME=N"),
        (["plot", "/nowhere/x.png", "--erlangs", "5"], "/nowhere/x.png"),
        (["plot", "x.png"], "name one of"),
    ],
)
def test_bad_input_is_reported_in_one_line_with_exit_status_2(arguments, message, capsys, tmp_path):
    file = tmp_path / "p.json"
    file.write_text('{"groups": [{"name": "g"}], "streams": [{"name": "s", "group": "g", "erlangs": 5}]}')
    assert cli.main(["trunks", *(str(file) if w == "FILE" else w for w in arguments)]) == 2
    err = capsys.readouterr().err
    assert message in err
    assert err.count("\n") == 1
    assert "Traceback" not in err


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{", "Input data was truncated"),
        ('{"groups": []}', "missing required field `streams`"),
        (
            '{"groups": [{"name": "g"}], "streams": [{"name": "s", "group": "h", "erlangs": 5}]}',
            "group is 'h'",
        ),
        (
            '{"groups": [{"name": "g"}], "streams": [{"name": "s", "group": "g", "erlangs": -5}]}',
            "erlangs is -5",
        ),
        (
            '{"groups": [{"name": "g"}], "streams": [{"name": "s", "group": "g", "erlangs": 5}], '
            '"targets": {"x": 0.1}}',
            "unknown class 'x'",
        ),
        (
            '{"groups": [{"name": "g", "overflow": "g"}], '
            '"streams": [{"name": "s", "group": "g", "erlangs": 5}]}',
            "overflow is 'g'",
        ),
    ],
)
def test_a_bad_plan_file_names_its_field(text, message, capsys, tmp_path):
    file = tmp_path / "p.json"
    file.write_text(text)
    assert cli.main(["trunks", "plan", str(file)]) == 2
    err = capsys.readouterr().err
    assert message in err
    assert str(file) in err
    assert err.count("\n") == 1


def test_the_commands_agree_with_the_formulas(capsys, tmp_path):
    def output(*arguments):
        assert cli.main(["trunks", *arguments, "--json"]) == 0
        return json.loads(capsys.readouterr().out)

    assert output("blocking", "--erlangs", "8", "--circuits", "10")["blocking"] == pytest.approx(
        loss.erlang_b_recursion(10, 8)
    )
    assert output("circuits", "--erlangs", "84.1", "--target", "0.01")["circuits"] == 101
    peaky_need = output("circuits", "--erlangs", "50", "--target", "0.01", "--peakedness", "3")
    assert peaky_need["circuits"] > peaky_need["erlang_b_circuits"]
    assert (
        peaky_need["blocking"]
        <= 0.01
        < output(
            "blocking", "--erlangs", "50", "--circuits", str(peaky_need["circuits"] - 1), "--peakedness", "3"
        )["blocking"]
    )
    file = tmp_path / "p.json"
    file.write_text(
        json.dumps(
            {
                "target": 0.02,
                "groups": [{"name": "f", "module": 2}, {"name": "d", "overflow": "f", "price": 0.5}],
                "streams": [
                    {"name": "a", "group": "d", "erlangs": 6, "low": 5, "high": 7},
                    {"name": "b", "group": "f", "erlangs": 3},
                ],
            }
        )
    )
    planned = output("plan", str(file))
    assert max(planned["service"]["high"]["lost"].values()) <= 0.02 * (1 + 1e-9)
    evaluated = output(
        "whatif", str(file), "--circuits", ",".join(f"{k}={n}" for k, n in planned["circuits"].items())
    )
    assert evaluated["service"]["high"]["lost"] == pytest.approx(planned["service"]["high"]["lost"])
    for options in (
        ["--erlangs", "20", "--low", "18", "--high", "23", "--peakedness", "2"],
        ["--plan", str(file)],
    ):
        assert cli.main(["trunks", "plot", str(tmp_path / "x.png"), *options]) == 0
        assert (tmp_path / "x.png").read_bytes().startswith(b"\x89PNG")


def test_the_output_of_a_plan_is_json_and_nothing_else(tmp_path):
    """The solver writes its banner to the file descriptor, which only a separate process shows."""
    file = tmp_path / "p.json"
    file.write_text(
        '{"groups": [{"name": "f"}, {"name": "d", "overflow": "f"}], '
        '"streams": [{"name": "s", "group": "d", "erlangs": 5}]}'
    )
    result = subprocess.run(
        [sys.executable, "-m", "softswitch.cli", "trunks", "plan", str(file), "--json"],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 0 and json.loads(result.stdout)["proved"] is True, result


def test_invalid_networks_are_rejected():
    for groups, streams, message in (
        (
            [Group("a", overflow="b"), Group("b", overflow="c"), Group("c")],
            [Stream("s", "a", 1, 0.1)],
            "overflow",
        ),
        ([Group("a"), Group("a")], [Stream("s", "a", 1, 0.1)], "no name twice"),
        ([Group("a")], [Stream("s", "a", 1, 1.0)], "target"),
        ([Group("a")], [Stream("s", "a", inf, 0.1)], "erlangs"),
    ):
        with pytest.raises(OutOfRangeError, match=message):
            network.check(groups, streams)
