"""Budgets of real processes: rejected calls, the `fleet budgets` command, a killed allocator, invalid files,
and a reload with a replacement of a process.
"""

import http.client
import json
import signal
import subprocess
import sys
from contextlib import ExitStack, contextmanager

import pytest
from support.harness import ROOT, format_address
from test_fleet_processes import Process, own_address, until

from softswitch.operator.load import OperatorFileError, parse_text

FLEET = 'fleet = {"name": "f", "address": "10.0.0.1:7946", "seeds": ["10.0.0.2:7946"]}\n'
ALLOCATION = 'allocation = {"members": ["10.0.0.1:7946", "10.0.0.2:7946"], "voters": ["10.0.0.1:7946"]}\n'


@contextmanager
def budgeted(folder, budgets, count=3):
    at = [own_address() for _ in range(count)]
    everyone = json.dumps([format_address(a) for a in at])
    tables = (
        f"budgets = {json.dumps(budgets)}\n"
        f'allocation = {{"members": {everyone}, "voters": {everyone}, '
        '"lease_s": 1.5, "promise_s": 1.0, "record": 1000}\n'
    )
    with ExitStack() as stack:
        made = []
        for n in range(count):
            made.append(Process(folder, n, at[n], at[:2]))
            star = folder / f"o{n}.star"
            star.write_text(star.read_text() + tables)
            stack.enter_context(made[-1].stage)
        yield made


def budgets(*made):
    words = [sys.executable, "-m", "softswitch.cli", "fleet", "budgets", "--json", *(p.mgmt for p in made)]
    ran = subprocess.run(words, cwd=ROOT, capture_output=True, text=True)
    return ran.returncode, json.loads(ran.stdout)


def test_a_call_beyond_the_budget_is_rejected_and_a_killed_allocator_is_replaced(tmp_path):
    quotes = {"name": "quotes", "whole": 5, "floor": 0.5, "over_s": 2, "class": "x"}
    with budgeted(tmp_path, [quotes]) as made:

        def logs():
            return "\n".join(p.said() for p in made)

        # A floor of one slot is usable after its cooldown. It is spent once; later calls are rejected with a
        # time to retry.
        until(lambda: budgets(made[0])[1]["budgets"]["quotes"]["sum"] >= 1, logs)
        until(lambda: budgets(*made)[1]["in_office"], logs)
        until(
            lambda: budgets(made[0])[1]["budgets"]["quotes"]["held"][format_address(made[0].at)]["leased"],
            logs,
        )
        code, found = budgets(*made)
        assert code == 0
        assert found["budgets"]["quotes"]["whole"] == 10 >= found["budgets"]["quotes"]["sum"]
        s = made[0].stage
        for n in range(1, 21):
            s.play(f"c0 send INVITE {n}")
        # the engine answers nothing, so these come from the softswitch
        refused = [s.next("c0") for _ in range(10)]
        assert all(came and came.startswith("SIP/2.0 503") for came in refused), refused
        received_by_engine = []
        while (came := s.next("e0", 0.5)) is not None:
            received_by_engine.append(came)
        assert 1 <= sum(came.startswith("SET_UP") for came in received_by_engine) <= 10
        first = found["in_office"][0]
        dead = next(p for p in made if format_address(p.at) == first)
        others = [p for p in made if p is not dead]
        dead.stage.program.send_signal(signal.SIGKILL)
        dead.stage.program.wait()
        until(lambda: any(at != first for at in budgets(*others)[1]["in_office"]), logs)
        code, found = budgets(*others)
        assert code == 0
        assert budgets(*made)[0] == 1
        assert dead.mgmt in budgets(*made)[1]["errors"]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (FLEET + 'budgets = [{"name": "a", "whole": 5}]\n', "`budgets` needs `allocation`"),
        (ALLOCATION + 'budgets = [{"name": "a", "whole": 5}]\n', "`budgets` needs `fleet`"),
        (
            FLEET + ALLOCATION + 'budgets = [{"name": "a", "whole": 5, "floor": 3}]\n',
            "a: the floors of 2 members sum to 6 slots, more than the total of 5",
        ),
        (FLEET + ALLOCATION + 'budgets = [{"name": "a", "whole": 0.4}]\n', "make `over_s` longer"),
        (
            FLEET + ALLOCATION + 'budgets = [{"name": "a", "what": "cold", "whole": 2}]\n',
            "`whole` is 1 at most",
        ),
        (FLEET + ALLOCATION + 'budgets = [{"name": "a"}, {"name": "a"}]\n', "twice"),
        (
            FLEET + 'allocation = {"voters": ["n1:7946"]}\nbudgets = [{"name": "a"}]\n',
            "`n1:7946` is no IPv4 address",
        ),
        (FLEET + ALLOCATION + 'budgets = [{"name": "a", "what": "calls"}]\n', "Invalid enum value 'calls'"),
    ],
)
def test_an_invalid_file_is_rejected_with_the_reason(text, said):
    with pytest.raises(OperatorFileError, match="f.star") as refused:
        parse_text(text, "f.star")
    assert said in str(refused.value)


def test_a_total_lowered_by_sighup_applies_to_all_and_a_process_and_its_successor_are_one_holder(tmp_path):
    quotes = {"name": "quotes", "whole": 40, "floor": 2, "class": "x"}
    with budgeted(tmp_path, [quotes], 2) as made:

        def logs():
            return "\n".join(p.said() for p in made)

        def held():
            found = budgets(*made)[1]  # above the lowered total until the earlier leases have expired
            return found["budgets"].get("quotes", {"sum": 0, "whole": 0, "held": {}})

        until(lambda: held()["sum"] > 30, logs)
        star = tmp_path / "o1.star"
        star.write_text(star.read_text().replace('"whole": 40', '"whole": 20'))
        made[1].stage.program.send_signal(signal.SIGHUP)
        until(lambda: "total lowered: quotes: 20 slots" in logs() or held()["whole"] == 20, logs)
        until(lambda: 4 < held()["sum"] <= 20, logs)
        # An invalid file changes nothing, and the reason is logged.
        star.write_text(star.read_text().replace('"floor": 2', '"floor": 12'))
        made[1].stage.program.send_signal(signal.SIGHUP)
        until(
            lambda: "floors of 2 members sum to 24 slots, more than the total of 20" in made[1].said(), logs
        )
        # While one process replaces the other, each has half of the floor; afterwards the successor has all
        # of it.
        stage = made[0].stage
        old, before = stage.program, made[0].mgmt
        at = own_address()
        stage.start({"BALANCER_MGMT": format_address(at)})
        until(lambda: "the next process takes the callers" in made[0].said(), logs)
        both = [budgets_of(m)["quotes"] for m in (before, format_address(at))]
        assert sum(b["held"] - b["leased"] for b in both) <= 2, both
        old.send_signal(signal.SIGTERM)
        assert old.wait(15) == 0
        now = format_address(at)
        until(lambda: (b := budgets_of(now)["quotes"])["held"] - b["leased"] == 2 and b["leased"], logs)
        assert sum(budgets_of(m)["quotes"]["held"] for m in (format_address(at), made[1].mgmt)) <= 20


def budgets_of(mgmt):
    host, _, port = mgmt.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request("GET", "/v1/budgets")
    told = json.loads(connection.getresponse().read())["budgets"]
    connection.close()
    return told
