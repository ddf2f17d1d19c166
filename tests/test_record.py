"""The traffic record, its file, and the operator file that enables it."""

import json
import os
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.harness import Stage

from softswitch import cli
from softswitch.core.timer_wheel import TimerWheel
from softswitch.measure.record import MAX_ROUTES, OTHER, TrafficRecord
from softswitch.measure.recordfile import FRAME, RecordFileError, Writer, encode_histogram, read
from softswitch.measure.recording import MAX_PENDING_INTERVALS, Recording
from softswitch.operator.load import OperatorFileError, parse_text


def record(interval=1000.0, slot=100.0):
    saved = []
    return TrafficRecord(interval, slot, lambda now: now + 5000.0, saved.append, 0.0), saved


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 400), st.integers(0, 2), st.booleans()), max_size=60))
def test_saved_intervals_match_a_reference_count(steps):
    """Arrivals, outcomes and occupancy match a simple reference count for any sequence of events."""
    traffic_record, saved = record()
    now, active, received, established, ended, call_ms = 0.0, [], 0, 0, 0, 0.0
    for gap, event, redial in steps:
        call_ms += gap * len(active)
        now += gap
        if event == 0:
            traffic_record.attempt_received(now, 1, "x", redial)
            received += 1
        elif event == 1:
            active.append((now, traffic_record.attempt_settled(now, 1, 2, "x", "carried", 5.0, redial)))
            established += 1
        elif active:
            established_at, occupancy = active.pop(0)
            traffic_record.call_ended(now, occupancy, now - established_at)
            ended += 1
    traffic_record.roll_over(now, last=True)
    assert sum(sum(a["first"]) + sum(a["redials"]) for entry in saved for a in entry["arrivals"]) == received
    assert sum(o["carried"] for entry in saved for o in entry["routes"]) == established
    occupied = [o for entry in saved for o in entry["occupied"]]
    assert sum(o["ended"] for o in occupied) == ended
    # A stall longer than an interval omits the empty intervals and nothing else.
    max_gap = max([0.0, *(gap for gap, _, _ in steps)])
    assert sum(o["call_ms"] for o in occupied) <= call_ms + 1e-2
    if max_gap < 1000:
        assert sum(o["call_ms"] for o in occupied) == pytest.approx(call_ms, abs=1e-2)
    assert all(entry["begin"] % 1000 == pytest.approx(0, abs=1e-6) for entry in saved)


def test_routes_over_the_limit_are_counted_together():
    traffic_record, saved = record()
    occupancies = []
    for n in range(3 * MAX_ROUTES):
        traffic_record.attempt_received(1.0, n, "x", False)
        occupancies.append(traffic_record.attempt_settled(2.0, n, n, "x", "carried", 1.0, False))
    for occupancy in occupancies:
        traffic_record.call_ended(3.0, occupancy, 1.0)
    traffic_record.roll_over(1000.0)
    (entry,) = saved
    for table, key in (("arrivals", "dest"), ("routes", "tried"), ("occupied", "cell")):
        assert len(entry[table]) == MAX_ROUTES + 1
        assert entry[table][-1][key] == OTHER
    assert entry["routes"][-1]["carried"] == 2 * MAX_ROUTES
    assert sum(o["ended"] for o in entry["occupied"]) == 3 * MAX_ROUTES
    traffic_record.roll_over(2000.0)
    assert not saved[1]["occupied"]  # occupancies without active calls are dropped


def test_a_file_truncated_at_any_byte_is_read_up_to_its_last_complete_entry(tmp_path):
    path, damaged = tmp_path / "a.whtr", tmp_path / "cut.whtr"
    writer, ends = Writer(path, {"name": "n0"}, 1 << 20), []
    for n in range(3):
        writer.write({"n": n})
        ends.append(writer.size)
    writer.close()
    data = path.read_bytes()
    for size in range(len(data) + 1):
        damaged.write_bytes(data[:size])
        contents = read(damaged)
        assert [e["n"] for e in contents.entries] == [n for n, end in enumerate(ends) if end <= size]
        complete = contents.valid_bytes == size and size > 0
        assert bool(contents.stop_reason) != complete
    for at in range(6, len(data)):  # reading stops at a corrupt byte, with a reason
        damaged.write_bytes(data[:at] + bytes((data[at] ^ 0x40,)) + data[at + 1 :])
        contents = read(damaged)
        assert contents.stop_reason
        assert [e["n"] for e in contents.entries] == [n for n, end in enumerate(ends) if end <= at]
    # Reading stops at intact frames that were exchanged.
    first = FRAME.unpack_from(data, ends[0])[0] + FRAME.size
    damaged.write_bytes(data[: ends[0]] + data[ends[0] + first :] + data[ends[0] : ends[0] + first])
    assert [e["n"] for e in read(damaged).entries] == [0]
    # A writer of a truncated file continues after its last complete entry.
    damaged.write_bytes(data[:-3])
    writer = Writer(damaged, {"name": "n1"}, 1 << 20)
    writer.write({"n": 9})
    writer.close()
    assert [e["n"] for e in read(damaged).entries] == [0, 1, 9]
    assert not read(damaged).stop_reason
    assert [h["name"] for h in read(damaged).heads] == ["n0", "n1"]


def test_other_files_and_versions_are_rejected_and_the_file_size_is_bounded(tmp_path):
    path = tmp_path / "a.whtr"
    for data, message in ((b"hello, world", "not a traffic record"), (b"WHTR\x00\x09", "version 9")):
        path.write_bytes(data)
        with pytest.raises(RecordFileError, match=message):
            read(path)
    path.unlink()
    with pytest.raises(RecordFileError, match="No such file"):
        read(path)
    writer = Writer(path, {"name": "n0"}, 2_000)
    for n in range(40):
        writer.write({"n": n, "text": "x" * 200})
    writer.close()
    old = tmp_path / "a.whtr.1"
    assert max(path.stat().st_size, old.stat().st_size) <= 2_000
    assert [e["n"] for e in read(old).entries + read(path).entries][-1] == 39
    with pytest.raises(RecordFileError):
        path.write_bytes(b"something else")
        Writer(path, {}, 2_000).write({})
    assert path.read_bytes() == b"something else"  # not modified


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("x = 1\n", "f.star:1: `x` is not a table"),
        (
            "\n\nrecord = {'file': 'a', 'interval_s': 'z'}\n",
            "f.star:3: `record.interval_s`: Expected `float`",
        ),
        (
            "record = {\n 'file': 'a',\n 'slot_s': 7,\n}\n",
            "f.star:1: `record`: `interval_s` must be a whole number",
        ),
        ("record = {'fil': 'a'}\n", "f.star:1: `record`: Object contains unknown field `fil`"),
        ("record = {}\n", "missing required field `file`"),
        ("logs = {'form': 'xml'}\n", "f.star:1: `logs.form`: Invalid enum value 'xml'"),
        ("a = \n", "f.star:1: Parse error"),
        ("_a = 1\nrecord = {'file': b}\n", "f.star:2: Variable `b` not found"),
        ("load('x', 'y')\n", "f.star:1:"),
        ("def f(n):\n  return f(n + 1)\n_x = f(0)\n", "f.star:"),
        ("def f():\n  for i in range(1 << 30):\n    pass\nf()\n", "it took over 2 s"),
        ("# " + "x" * (300 << 10), "bytes; at most"),
    ],
)
def test_a_bad_operator_file_is_reported_in_one_line_with_its_place(text, message):
    with pytest.raises(OperatorFileError) as caught:
        parse_text(text, "f.star")
    assert message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_shipped_operator_file_enables_nothing(capsys):
    path = Path(__file__).parent.parent / "deploy" / "operator.star"
    assert cli.main(["config", "show", str(path)]) == 0
    assert json.loads(capsys.readouterr().out)["record"] is None
    uncommented = "\n".join(
        line.removeprefix("# ") if i > 2 else line for i, line in enumerate(path.read_text().splitlines())
    )
    assert parse_text(uncommented, "x").record.file == "traffic.whtr"
    assert parse_text(uncommented, "x").logs.form == "json"


CALL = """
    c0 send INVITE {n} {more}
    e{e} expect SET_UP
    e{e} send ANSWER {n} 33=d
    c0 expect 200 OK
    """


def test_the_record_survives_full_engines_and_a_killed_softswitch(tmp_path):
    star, file = tmp_path / "o.star", tmp_path / "sub" / "t.whtr"
    star.write_text(
        'record = {"file": "sub/t.whtr", "interval_s": 1, "slot_s": 0.25}\nlogs = {"form": "json"}\n'
    )
    with Stage(env={"SOFTSWITCH_OPERATOR": str(star)}) as s:
        s.play(CALL.format(n=1, e=0, more="") + "e0 send RELEASE 1 31=16\nc0 expect ^BYE")
        s.play(CALL.format(n=2, e=1, more="X-Facts=dest:1;width:1 X-Retry=1"))
        s.play(
            "c0 send INVITE 3\ne0 expect SET_UP\ne0 send RELEASE 3 31=34 17=all_trunks_busy 21=x0:0;x1:1000\n"
            "e1 expect SET_UP\ne1 send RELEASE 3 31=34 17=all_trunks_busy 21=x0:0;x1:1000\nc0 expect 503"
        )
        s.play("c0 send INVITE 4\nc0 send CANCEL 4\nc0 wait 2000")
        s.program.kill()
        s.program.wait()
        before = read(file)
        assert before.entries
        assert not before.stop_reason
        s.start()
        s.parties.clear()
        s.play("c8 send OPTIONS\nc8 expect 200 OK\np send SIGTERM\np expect 0")
        lines = [json.loads(line) for line in s.log_text().splitlines()]
        assert {line["record"]["extra"]["softswitch"] for line in lines} == {"n0"}
    contents = read(file)
    assert len(contents.heads) == 2
    assert len(contents.entries) > len(before.entries)
    sums, first, redials = {}, 0, 0
    for entry in contents.entries:
        for a in entry["arrivals"]:
            first, redials = first + sum(a["first"]), redials + sum(a["redials"])
        for r in entry["routes"]:
            for outcome in ("carried", "blocked", "given_up"):
                sums[outcome] = sums.get(outcome, 0) + r[outcome]
    assert (first, redials) == (3, 1)
    assert sums == {"carried": 2, "blocked": 1, "given_up": 1}
    assert sum(o["ended"] for e in contents.entries for o in e["occupied"]) == 1


def test_failed_writes_are_logged_once_and_the_softswitch_keeps_serving(tmp_path):
    star = tmp_path / "o.star"
    star.write_text('record = {"file": "t.whtr", "interval_s": 1}\n')
    (tmp_path / "t.whtr").mkdir()
    stage = Stage(env={"SOFTSWITCH_OPERATOR": str(star)})
    assert stage.program.wait(10) == 2
    assert "t.whtr: can't be read" in stage.log_text()
    stage.__exit__()
    (tmp_path / "t.whtr").rmdir()
    (tmp_path / "t.whtr").symlink_to(
        tmp_path / "gone" / "x"
    )  # its target does not exist and cannot be created
    with Stage(env={"SOFTSWITCH_OPERATOR": str(star)}) as s:
        for n in range(1, 4):
            s.play(CALL.format(n=n, e=0, more="") + "c0 wait 1100")
        assert s.log_text().count("traffic record: not written") == 1, s.log_text()
        s.play("p send SIGTERM\np expect 0")
        assert '"record intervals lost":' in s.log_text()


def test_a_hanging_disk_does_not_block_the_event_loop():
    released, written = threading.Event(), []

    class HangingWriter:
        def write(self, entry):
            released.wait(20)
            written.append(entry)

    switch = SimpleNamespace(counters=Counter(), wheel=TimerWheel(5.0, lambda: 0.0))
    threads = []

    def in_thread(work):
        threads.append(threading.Thread(target=work))
        threads[-1].start()

    recording = Recording(switch, HangingWriter(), 1000.0, 100.0, lambda now: now, in_thread, {})
    started_at = time.monotonic()
    for n in range(30):
        recording._save({"n": n})
    assert time.monotonic() - started_at < 2
    assert len(recording.pending) == MAX_PENDING_INTERVALS
    assert switch.counters["record intervals"] + switch.counters["record intervals lost"] == 30
    released.set()
    for thread in threads:
        thread.join(10)
    assert len(written) == switch.counters["record intervals"]
    assert not recording.pending


def test_optional_packages_are_not_loaded_without_need():
    code = (
        "import sys, softswitch.__main__, softswitch.simulator_adapter\n"
        "print(*[m for m in ('starlark', 'msgspec', 'hdrh', 'xxhash', 'numpy', 'scipy', 'typer', 'rich',"
        " 'highspy', 'matplotlib', 'softswitch.operator', 'softswitch.measure') if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=Path(__file__).parent.parent,
    )
    assert result.returncode == 0 and result.stdout.strip() == "", result


def test_demo_carries_calls_and_leaves_no_process_running(tmp_path):
    record_file = tmp_path / "kept.whtr"
    started_at = time.monotonic()
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "softswitch.cli",
            "demo",
            "--seconds",
            "3",
            "--rate",
            "30",
            "--json",
            "--keep",
            str(record_file),
        ],
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"TMPDIR": str(tmp_path)},
        cwd=Path(__file__).parent.parent,
    )
    assert result.returncode == 0, result.stderr
    output = json.loads(result.stdout)
    assert output["callers"]["calls"] > 40
    assert output["callers"]["unanswered"] == 0
    assert output["callers"]["second_answers"] == output["callers"]["wrong_description"] == 0
    assert sum(r["carried"] + r["late"] for r in output["traffic"]["routes"]) == output["callers"]["carried"]
    assert time.monotonic() - started_at < 30
    assert list(tmp_path.iterdir()) == [record_file]
    processes = subprocess.run(["ps", "ax", "-o", "args"], capture_output=True, text=True).stdout
    assert not any(str(tmp_path) in line for line in processes.splitlines())


def test_encoding_leaves_empty_histograms_out():
    from softswitch.measure.record import histogram

    h = histogram()
    assert encode_histogram(h) == ""
    h.record_value(250)
    assert histogram(encode_histogram(h)).get_value_at_percentile(50) == pytest.approx(250, rel=0.01)
