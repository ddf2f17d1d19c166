"""The simulator adapter on hand-written input lines."""

import io
import json

import pytest
from support.settings import INFO

from softswitch.simulator_adapter import main

ENDPOINT_LIST = {
    "verb": "sheet",
    "table": 0,
    "records": [
        {"server": "s_a", "area": "z", "model": "m", "cell": 0, "mode": "Ready", "scale": 90, "more": 1},
        {"server": "s_b", "area": "z", "model": "m", "cell": 1, "mode": "Ready", "scale": 90},
    ],
}
CALL = {"verb": "request", "front": 0, "handle": "0a", "category": "x", "terminates_at": 1, "grace": 3000.0}


def start(instance=0):
    return [
        {"verb": "start", "front": instance, "seed": 5, "info": INFO},
        {"verb": "membership", "front": instance, "table": 0, "gen": 1, "scope": "stale_copy"},
    ]


def batch(now, *events):
    return [{"verb": "clock", "clock": now}, *events, {"verb": "over_to_you"}]


def run(messages):
    sink = io.StringIO()
    lines = [m if isinstance(m, str) else json.dumps(m) for m in messages]
    code = main(io.StringIO("".join(line + "\n" for line in lines)), sink)
    return code, [json.loads(line) for line in sink.getvalue().splitlines()]


def test_a_call_is_sent_to_its_destination():
    code, replies = run(batch(5.0, ENDPOINT_LIST, *start(), CALL) + batch(10.0))
    assert code == 0
    assert {"verb": "dispatch", "front": 0, "handle": "0a", "server": "s_b", "allow_for": 0.0} in replies
    assert [m["verb"] for m in replies].count("done") == 2


def test_a_rejected_attempt_is_retried_at_another_endpoint():
    rejection = {
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
    _, replies = run(batch(5.0, ENDPOINT_LIST, *start(), CALL) + batch(15.0, rejection))
    assert [m["server"] for m in replies if m["verb"] == "dispatch"] == ["s_b", "s_a"]


def test_instances_are_independent_and_a_stop_removes_the_state():
    two_instances = batch(5.0, ENDPOINT_LIST, *start(0), *start(1), CALL)
    code, replies = run(two_instances + batch(9.0, {"verb": "down", "front": 0}, *start(0), CALL))
    assert code == 0
    assert {m["front"] for m in replies if "front" in m} == {0}


@pytest.mark.parametrize(
    ("line", "error"),
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
def test_an_invalid_line_ends_with_one_error_message(line, error, capsys):
    code, _ = run([*batch(5.0, ENDPOINT_LIST, *start()), {"verb": "clock", "clock": 6.0}, line])
    err = capsys.readouterr().err
    assert code != 0
    assert error in err
    assert err.count("\n") == 1
    assert "Traceback" not in err
    assert "line 7" in err


def test_end_of_input_is_a_clean_exit():
    assert run([]) == (0, [])
