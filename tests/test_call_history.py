"""The call history: limits, management request and file. Components that are disabled are not loaded."""

import json
import subprocess
import sys
from importlib.util import find_spec

from support.harness import Stage, call_id

from softswitch.core.call_history import FIRST_EVENTS, LAST_EVENTS, CallHistory

CALL = """
    c0 send INVITE 1
    e0 expect SET_UP {1}
    e0 send ANSWER 1 33=d
    c0 expect 200 .*{1}
    e0 send RELEASE 1 31=16
    c0 expect ^BYE
    """


def test_calls_and_the_events_of_a_call_are_limited():
    now = [0.0]
    history = CallHistory(lambda: now[0], max_calls=3)
    for n in range(5):
        history.note(call_id(n), "set-up")
    assert list(history.calls) == [call_id(n) for n in (2, 3, 4)]
    assert history.dropped == 2
    assert history.pop_changed(2) == [call_id(2), call_id(3)]
    assert history.pop_changed(9) == [call_id(4)]
    assert history.pop_changed(9) == []
    for n in range(100):
        now[0] = float(n)
        history.note(call_id(4), "again", str(n))
    report = history.report(call_id(4), 1000.0)
    assert len(report["life"]) == FIRST_EVENTS + LAST_EVENTS
    assert report["left_out"] == 101 - FIRST_EVENTS - LAST_EVENTS
    assert report["life"][0] == {"ms": 1000.0, "what": "set-up"}
    assert report["life"][-1]["where"] == "99"
    assert history.report(call_id(0)) is None


def test_a_call_history_is_returned_on_request_and_written_to_the_file(tmp_path):
    operator_file = tmp_path / "o.star"
    operator_file.write_text('calls = {"keep": 9, "file": "l-{pid}.jsonl", "every_s": 0.1}\n')
    with Stage(env={"SOFTSWITCH_OPERATOR": str(operator_file)}) as s:
        s.play(CALL)
        s.play("m0 send GET /v1/calls/{1}")
        report = json.loads(s.next("m0").partition(" - ")[2])
        events = [entry["what"] for entry in report["life"]]
        expected = [
            "set-up",
            "attempt",
            "set-up written",
            "answer heard",
            "answered 200",
            "release heard",
            "caller told",
        ]
        assert [e for e in events if e in expected] == expected, events
        s.play("""
            m1 send GET /v1/calls/{7}
            m1 expect ^404
            m2 send GET /v1/calls/x
            m2 expect ^400
            m3 send POST /v1/calls/{1}
            m3 expect ^405
            m4 send GET /v1/calls/links
            m4 expect "link up"
            m5 send GET /v1/metrics
            m5 expect "calls":{"lives_kept":1
            p send SIGTERM
            p expect 0
            """)
        lines = (tmp_path / f"l-{s.program.pid}.jsonl").read_text().splitlines()
        assert {json.loads(line)["call"] for line in lines} == {call_id(1), "links"}


def test_a_full_disk_is_logged_once_and_calls_continue(tmp_path):
    operator_file = tmp_path / "o.star"
    operator_file.write_text('calls = {"file": "/dev/full", "every_s": 0.1}\n')
    with Stage(env={"SOFTSWITCH_OPERATOR": str(operator_file)}) as s:
        s.play(CALL + "c0 wait 400" + CALL.replace(" 1", " 2").replace("{1}", "{2}") + "c0 wait 400")
        assert s.log_text().count("calls: history not written") == 1


def test_importing_the_program_loads_no_optional_component():
    optional = (
        "net.call_history",
        "net.peers",
        "net.budgets",
        "measure",
        "fleet",
        "operator",
        "storage",
        "budgets",
    )
    # A name of a module that no longer exists would check nothing.
    assert all(find_spec(f"softswitch.{name}") for name in optional)
    code = (
        "import sys, softswitch.__main__; "
        f"off = tuple('softswitch.' + name for name in {optional}) + ('msgspec', 'starlark'); "
        "print([m for m in sys.modules if m.startswith(off)])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.strip() == "[]"
