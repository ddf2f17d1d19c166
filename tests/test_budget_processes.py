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
from test_fleet_processes import Process, own_address, wait_until

from softswitch.operator.load import OperatorFileError, parse_text

FLEET = 'fleet = {"name": "f", "address": "10.0.0.1:7946", "seeds": ["10.0.0.2:7946"]}\n'
ALLOCATION = 'allocation = {"members": ["10.0.0.1:7946", "10.0.0.2:7946"], "voters": ["10.0.0.1:7946"]}\n'


@contextmanager
def processes_with_budgets(folder, budgets, count=3):
    addresses = [own_address() for _ in range(count)]
    everyone = json.dumps([format_address(a) for a in addresses])
    tables = (
        f"budgets = {json.dumps(budgets)}\n"
        f'allocation = {{"members": {everyone}, "voters": {everyone}, '
        '"lease_s": 1.5, "promise_s": 1.0, "record": 1000}\n'
    )
    with ExitStack() as stack:
        softswitches = []
        for n in range(count):
            softswitches.append(Process(folder, n, addresses[n], addresses[:2]))
            star = folder / f"o{n}.star"
            star.write_text(star.read_text() + tables)
            stack.enter_context(softswitches[-1].stage)
        yield softswitches


def budgets(*softswitches):
    """Runs `fleet budgets` for these softswitches; returns its exit status and its JSON output."""
    command = [
        sys.executable,
        "-m",
        "softswitch.cli",
        "fleet",
        "budgets",
        "--json",
        *(p.mgmt for p in softswitches),
    ]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return result.returncode, json.loads(result.stdout)


def test_a_call_beyond_the_budget_is_rejected_and_a_killed_allocator_is_replaced(tmp_path):
    quotes = {"name": "quotes", "whole": 5, "floor": 0.5, "over_s": 2, "class": "x"}
    with processes_with_budgets(tmp_path, [quotes]) as softswitches:

        def logs():
            return "\n".join(p.log_text() for p in softswitches)

        # A floor of one slot is usable after its cooldown. It is spent once; later calls are rejected with a
        # retry-after time.
        wait_until(lambda: budgets(softswitches[0])[1]["budgets"]["quotes"]["sum"] >= 1, logs)
        wait_until(lambda: budgets(*softswitches)[1]["in_office"], logs)
        wait_until(
            lambda: budgets(softswitches[0])[1]["budgets"]["quotes"]["held"][
                format_address(softswitches[0].address)
            ]["leased"],
            logs,
        )
        exit_status, answer = budgets(*softswitches)
        assert exit_status == 0
        assert answer["budgets"]["quotes"]["whole"] == 10 >= answer["budgets"]["quotes"]["sum"]
        s = softswitches[0].stage
        for n in range(1, 21):
            s.play(f"c0 send INVITE {n}")
        # The engine answers nothing, so the softswitch itself has sent these.
        rejections = [s.next("c0") for _ in range(10)]
        assert all(message and message.startswith("SIP/2.0 503") for message in rejections), rejections
        received_by_engine = []
        while (message := s.next("e0", 0.5)) is not None:
            received_by_engine.append(message)
        assert 1 <= sum(message.startswith("SET_UP") for message in received_by_engine) <= 10
        first_leader = answer["in_office"][0]
        dead = next(p for p in softswitches if format_address(p.address) == first_leader)
        others = [p for p in softswitches if p is not dead]
        dead.stage.program.send_signal(signal.SIGKILL)
        dead.stage.program.wait()
        wait_until(lambda: any(address != first_leader for address in budgets(*others)[1]["in_office"]), logs)
        exit_status, answer = budgets(*others)
        assert exit_status == 0
        assert budgets(*softswitches)[0] == 1
        assert dead.mgmt in budgets(*softswitches)[1]["errors"]


@pytest.mark.parametrize(
    ("text", "reason"),
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
def test_an_invalid_file_is_rejected_with_the_reason(text, reason):
    with pytest.raises(OperatorFileError, match="f.star") as caught:
        parse_text(text, "f.star")
    assert reason in str(caught.value)


def test_a_total_lowered_by_sighup_applies_to_all_and_a_process_and_its_successor_are_one_holder(tmp_path):
    quotes = {"name": "quotes", "whole": 40, "floor": 2, "class": "x"}
    with processes_with_budgets(tmp_path, [quotes], 2) as softswitches:

        def logs():
            return "\n".join(p.log_text() for p in softswitches)

        def held():
            # The sum is above the lowered total until the earlier leases have expired.
            answer = budgets(*softswitches)[1]
            return answer["budgets"].get("quotes", {"sum": 0, "whole": 0, "held": {}})

        wait_until(lambda: held()["sum"] > 30, logs)
        star = tmp_path / "o1.star"
        star.write_text(star.read_text().replace('"whole": 40', '"whole": 20'))
        softswitches[1].stage.program.send_signal(signal.SIGHUP)
        wait_until(lambda: "total lowered: quotes: 20 slots" in logs() or held()["whole"] == 20, logs)
        wait_until(lambda: 4 < held()["sum"] <= 20, logs)
        # An invalid file changes nothing, and the reason is logged.
        star.write_text(star.read_text().replace('"floor": 2', '"floor": 12'))
        softswitches[1].stage.program.send_signal(signal.SIGHUP)
        wait_until(
            lambda: "floors of 2 members sum to 24 slots, more than the total of 20"
            in softswitches[1].log_text(),
            logs,
        )
        # While one process replaces the other, each has half of the floor; afterwards the successor has all
        # of it.
        stage = softswitches[0].stage
        old, old_mgmt = stage.program, softswitches[0].mgmt
        new_address = own_address()
        stage.start({"BALANCER_MGMT": format_address(new_address)})
        wait_until(lambda: "the next process takes the callers" in softswitches[0].log_text(), logs)
        both = [budgets_of(m)["quotes"] for m in (old_mgmt, format_address(new_address))]
        assert sum(b["held"] - b["leased"] for b in both) <= 2, both
        old.send_signal(signal.SIGTERM)
        assert old.wait(15) == 0
        new_mgmt = format_address(new_address)
        wait_until(
            lambda: (b := budgets_of(new_mgmt)["quotes"])["held"] - b["leased"] == 2 and b["leased"], logs
        )
        assert (
            sum(budgets_of(m)["quotes"]["held"] for m in (format_address(new_address), softswitches[1].mgmt))
            <= 20
        )


def budgets_of(mgmt):
    """Requests the budgets of one process at its management address."""
    host, _, port = mgmt.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request("GET", "/v1/budgets")
    answer = json.loads(connection.getresponse().read())["budgets"]
    connection.close()
    return answer
