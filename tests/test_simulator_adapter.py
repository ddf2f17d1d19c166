"""The adapter on hand-written lines of the wire."""

import io
import json

import pytest
from support.settings import INFO

from softswitch.simulator_adapter import main

SHEET = {
    "verb": "sheet",
    "table": 0,
    "records": [
        {"server": "s_a", "area": "z", "model": "m", "cell": 0, "mode": "Ready", "scale": 90, "more": 1},
        {"server": "s_b", "area": "z", "model": "m", "cell": 1, "mode": "Ready", "scale": 90},
    ],
}
CALL = {"verb": "request", "front": 0, "handle": "0a", "category": "x", "terminates_at": 1, "grace": 3000.0}


def start(front=0):
    return [
        {"verb": "start", "front": front, "seed": 5, "info": INFO},
        {"verb": "membership", "front": front, "table": 0, "gen": 1, "scope": "stale_copy"},
    ]


def batch(now, *events):
    return [{"verb": "clock", "clock": now}, *events, {"verb": "over_to_you"}]


def run(messages):
    sink = io.StringIO()
    lines = [m if isinstance(m, str) else json.dumps(m) for m in messages]
    code = main(io.StringIO("".join(line + "\n" for line in lines)), sink)
    return code, [json.loads(line) for line in sink.getvalue().splitlines()]


def test_a_call_is_sent_to_its_destination():
    code, said = run(batch(5.0, SHEET, *start(), CALL) + batch(10.0))
    assert code == 0
    assert {"verb": "dispatch", "front": 0, "handle": "0a", "server": "s_b", "allow_for": 0.0} in said
    assert [m["verb"] for m in said].count("done") == 2


def test_answers_come_back_as_types():
    full = {
        "verb": "answer",
        "front": 0,
        "handle": "0a",
        "server": "s_b",
        "rc": 3,
        "spent": 9.0,
        "n": 0,
        "reason": 3 + 16 * 250,
        "telemetry": [3, 90],
    }
    _, said = run(batch(5.0, SHEET, *start(), CALL) + batch(15.0, full))
    assert [m["server"] for m in said if m["verb"] == "dispatch"] == ["s_b", "s_a"]


def test_fronts_are_apart_and_a_stop_forgets():
    two = batch(5.0, SHEET, *start(0), *start(1), CALL)
    code, said = run(two + batch(9.0, {"verb": "down", "front": 0}, *start(0), CALL))
    assert code == 0
    assert {m["front"] for m in said if "front" in m} == {0}


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("{nonsense", "not valid JSON"),
        ("[1]", "not an object with a verb"),
        ('{"verb":"dance","front":0}', "unknown verb 'dance'"),
        ('{"verb":"request","front":0,"handle":"0b"}', "category"),
        ('{"verb":"wake","front":9,"cookie":1}', "front 9"),
        ('{"verb":"start","front":1,"seed":1,"info":{"lanes":[]}}', "settings"),
        ('{"verb":"answer","front":0,"handle":"0a","server":"s_a","rc":77}', "77"),
    ],
)
def test_a_bad_line_ends_with_one_plain_message(line, fault, capsys):
    code, _ = run([*batch(5.0, SHEET, *start()), {"verb": "clock", "clock": 6.0}, line])
    err = capsys.readouterr().err
    assert code != 0
    assert fault in err
    assert err.count("\n") == 1
    assert "Traceback" not in err
    assert "line 7" in err


def test_end_of_input_is_a_clean_exit():
    assert run([]) == (0, [])
