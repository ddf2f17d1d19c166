"""Budgets without a network: division, windows, spending, plans, and generated fault schedules on virtual
time.
"""

import sys
from copy import deepcopy
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.harness import ROOT

from softswitch.budgets.allocator import Allocator
from softswitch.budgets.division import divide
from softswitch.budgets.lease_client import LeaseClient
from softswitch.budgets.lease_holder import LeaseHolder
from softswitch.budgets.messages import (
    NO_EPOCH,
    NO_GRANT,
    BudgetRequest,
    LeaseGrant,
    LeaseRequest,
    Promise,
    PromiseRequest,
    Redirect,
)
from softswitch.budgets.plan import SHARE_SLOTS, Budget, Limits, Plan, PlanError, strictest_limits
from softswitch.budgets.sliding_window import CELLS, SlidingWindow
from softswitch.budgets.spending import Spending
from softswitch.net.budgets import FloorFraction
from softswitch.standin.faults.budget_simulation import (
    BudgetSimulation,
    address_of,
    run_simulation,
    uniform_demand,
)
from softswitch.standin.faults.schedule import Fault

sys.path.insert(0, str(ROOT / "benchmarks"))
import budgets as bench

ADDRESSES = tuple(address_of(n) for n in range(20))


def plan(members=6, voters=3, total=60, floor=1, **more):
    return Plan(
        (Budget("quotes", "set-ups", total, floor, 1000.0),), ADDRESSES[:members], ADDRESSES[:voters], **more
    )


@given(st.integers(0, 500), st.lists(st.tuples(st.integers(0, 100), st.floats(0.1, 10)), max_size=12))
def test_division_is_limited_by_total_and_needs_and_leaves_no_usable_slot(total, requested):
    needs, weights = [n for n, _ in requested], [w for _, w in requested]
    parts = divide(total, needs, weights)
    assert all(0 <= p <= n for p, n in zip(parts, needs, strict=True))
    assert sum(parts) == min(total, sum(needs))
    # Max-min: a need that is not met has, relative to its weight, at least as much as any other, within a
    # slot.
    for p, n, w in zip(parts, needs, weights, strict=True):
        if p < n:
            assert all(q / v <= p / w + 1 / w + 1 / v + 1e-6 for q, v in zip(parts, weights, strict=True))


@given(st.lists(st.floats(0, 400), min_size=1, max_size=80), st.integers(1, 12))
def test_a_window_admits_no_more_than_an_exact_one(gaps, slots):
    window, now, uses = SlidingWindow(1000.0), 5_000.0, []
    for gap in gaps:
        now += gap
        if window.used(now) < slots:
            assert window.opens_in(now, slots) == 0.0
            window.use(now)
            uses.append(now)
            assert sum(u > now - 1000.0 for u in uses) <= slots
        else:
            wait = window.opens_in(now, slots)
            assert 0 < wait <= 1000.0 * (1 + 1 / CELLS) + 1e-6
            assert deepcopy(window).used(now + wait + 1e-6) < slots


def test_a_window_without_slots_never_opens():
    assert SlidingWindow(1000.0).opens_in(20.0, 0) == 1000.0


def test_a_plan_whose_floors_exceed_the_total_is_rejected_with_the_sum():
    with pytest.raises(
        PlanError, match="quotes: the floors of 6 members sum to 66 slots, more than the total of 60"
    ):
        plan(floor=11)
    for changes in ({"voters": 0}, {"drift": 0.5}):
        with pytest.raises(PlanError):
            plan(**changes)
    with pytest.raises(PlanError, match="`what` is one of"):
        Budget("x", "calls", 5)
    with pytest.raises(PlanError, match="twice"):
        Plan((Budget("x", "repeats", 5), Budget("x", "repeats", 6)), (), ("10.0.0.1:1",))


def test_the_lowest_total_and_the_highest_floor_of_all_files_apply():
    assert strictest_limits(
        plan(), [{"quotes": Limits(40, 1)}, {"quotes": Limits(80, 3), "other": Limits(1, 0)}]
    ) == {"quotes": Limits(40, 3)}


class ManualClockSpending:
    """Spending on a clock that the test sets."""

    def __init__(self, *budgets, held=3):
        self.now, self.held = 10_000.0, held
        self.spending = Spending(
            Plan(budgets, (), ADDRESSES[:1], drift=0.0), lambda now, name: self.held, lambda: self.now
        )


def test_spending_admits_up_to_the_held_slots_and_reports_when_it_opens():
    clocked = ManualClockSpending(Budget("a", "set-ups", 60, 0, 1000.0, "x"))
    assert [clocked.spending.admit("x", 1.0) for _ in range(3)] == [0, 0, 0]
    assert clocked.spending.admit("y", 1.0) == 0  # not limited
    wait = clocked.spending.admit("x", 1.0)
    assert 0 < wait <= 1000.0 * (1 + 1 / CELLS)
    clocked.now += wait
    assert clocked.spending.admit("x", 1.0) == 0
    report = clocked.spending.report()["a"]
    assert (report["wanted"], report["spent"], report["refused"]) == (5, 4, 1)


def test_spending_counts_retries_separately_and_engines_by_name():
    clocked = ManualClockSpending(
        Budget("again", "repeats", 60, 0, 1000.0), Budget("e", "set-ups", 9, 0, 1000.0, "", "s-1"), held=1
    )
    assert clocked.spending.may_attempt("x", "s-1", False)
    assert clocked.spending.may_attempt("x", "s-2", True)
    clocked.spending.attempt_sent("x", "s-1", False)
    assert not clocked.spending.may_attempt("x", "s-1", False)
    assert clocked.spending.may_attempt("x", "s-2", False)
    clocked.spending.attempt_sent("x", "s-2", True)
    assert not clocked.spending.may_attempt("x", "s-3", True)
    assert clocked.spending.may_attempt("x", "s-3", False)


def test_the_need_of_a_share_is_weighted_by_the_load():
    busy = ManualClockSpending(Budget("cold", "cold", SHARE_SLOTS, 10, 1000.0), held=250)
    assert busy.spending.share("cold", "s-1", 9.0) == 0.25
    assert busy.spending.share("probes", "s-1", 9.0) == 9.0
    assert busy.spending.needs()["cold"].slots == 0
    for _ in range(50):
        busy.spending.admit("x", 1.0)
    quiet = ManualClockSpending(Budget("cold", "cold", SHARE_SLOTS, 10, 1000.0))
    for _ in range(5):
        quiet.spending.admit("x", 1.0)
    busy_need = busy.spending.needs()["cold"]
    assert busy_need.slots == SHARE_SLOTS
    assert busy_need.weight > 5 * quiet.spending.needs()["cold"].weight


# simulated fleets on virtual time


def violation_of(seed):
    """Returns what a generated schedule violates, or a false value."""
    return bench.run_schedule(seed)[1]


def test_generated_schedules_stay_within_all_totals_and_settle():
    assert not {seed: violation for seed in range(6) if (violation := violation_of(seed))}


def test_a_seed_replays_exactly():
    faults = [
        Fault(at_s=3.0, what="kill", who=("n1",), for_s=2.0),
        Fault(at_s=8.0, what="lose", who=("all",), other=("all",), share=0.2, for_s=4.0),
    ]
    results = [run_simulation(plan(), 6, 2, 20.0, 7, faults) for _ in range(2)]
    assert results[0] == results[1]
    assert results[0].settled
    assert not results[0].violation


def test_division_by_the_number_of_visible_members_exceeds_the_total_in_a_partition():
    faults = [Fault(at_s=6.0, what="cut", who=("site:a",), for_s=10.0)]
    steps_over_total = run_simulation(
        plan(), 6, 2, 20.0, 1, faults, make=bench.CountingClient, strict=False
    ).steps_over_total
    with_leases = run_simulation(plan(), 6, 2, 20.0, 1, faults, demand=uniform_demand(20.0))
    assert steps_over_total > 0
    assert not with_leases.violation
    assert with_leases.usage["quotes"].max_spent <= 60


@pytest.mark.parametrize(
    "name",
    [
        "a voter makes two promises at a time",
        "leases are written off too early",
        "floors are not included in the sum",
        "unlimited slots count as available",
    ],
)
def test_an_injected_fault_is_detected(name):
    undo = bench.injected_faults()[name]()
    try:
        assert any(violation_of(seed) for seed in range(40))
    finally:
        undo()


def held_slots(simulation):
    return {n.name: n.client.held(n.clock(), "quotes") for n in simulation.nodes.values() if n.up}


def test_slots_follow_the_load_and_an_isolated_member_falls_back_to_its_floor():
    def demand(now, node, budget):
        return 40.0 if node == ("n4" if now < 20_000 else "n5") else 1.0

    faults = [Fault(at_s=30.0, what="cut", who=("n5",), for_s=10.0)]
    simulation = BudgetSimulation(plan(), 6, 2, 3, faults, demand=demand)
    simulation.run(19_000)
    assert held_slots(simulation)["n4"] > 30
    simulation.run(29_000)
    assert held_slots(simulation)["n5"] > 30 > held_slots(simulation)["n4"]
    simulation.run(30_000 + plan().lease * 1.02)
    assert held_slots(simulation)["n5"] == 1
    simulation.run(50_000)
    assert held_slots(simulation)["n5"] > 30
    assert simulation.settled()


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_new_member_gets_slots_soon_and_slots_of_a_dead_member_are_reused(seed):
    simulation = BudgetSimulation(
        plan(members=12),
        8,
        2,
        seed,
        [Fault(at_s=20.0, what="kill", who=("n5",))],
        demand=lambda now, node, budget: 20.0 if node in ("n5", "n7") else 2.0,
        join_at={"n7": 12_000.0},
    )
    # The need of n7 is visible after about 1 s. Others get smaller grants within a renewal interval, the
    # slots that they give up cool down for a window, and n7 requests again each RENEW_SOON.
    simulation.run(12_000 + 1_000 + plan().renew_interval * 1.1 + 1_010 + 350)
    before = held_slots(simulation)["n7"]
    assert before >= 7
    simulation.run(20_000 + plan().lease_bound + 1_000 * 1.02 + 2_500)
    assert held_slots(simulation)["n7"] >= before + 4


def test_a_total_lowered_in_one_file_applies_to_all_within_a_lease():
    lower_plan = plan(total=30)
    simulation = BudgetSimulation(
        plan(), 6, 2, 3, demand=uniform_demand(20.0), plans=[(10_000.0, "n4", lower_plan)]
    )
    simulation.run(10_000)
    assert simulation.held("quotes") > 50
    simulation.run(10_000 + plan().lease_bound)
    simulation.totals["quotes"] = 30
    simulation.run(25_000)
    assert 20 < simulation.held("quotes") <= 30
    assert any("total lowered" in text for _, text in simulation.log)


def test_an_allocator_that_leaves_is_replaced_before_any_lease_expires():
    simulation = BudgetSimulation(plan(), 6, 2, 3, demand=uniform_demand(20.0))
    simulation.run(11_900)
    first = next(n.name for n in simulation.nodes.values() if n.client.allocator.is_leader(n.clock()))
    faults = [Fault(at_s=12.0, what="leave", who=(first,))]
    simulation = BudgetSimulation(plan(), 6, 2, 3, faults, demand=uniform_demand(20.0))
    simulation.run(30_000)
    assert simulation.settled()
    assert simulation.elections >= 2
    assert simulation.lapses == 0


def test_a_promise_request_with_another_list_of_voters_is_denied():
    a, b = (LeaseClient(plan(voters=v), ADDRESSES[n], 1, 1, 0.0) for n, v in ((1, 2), (0, 3)))
    (requested,) = {action.message for action in _tick_until_requested(b)}
    answer = a.message_received(20_000.0, requested)
    assert "another list of voters" in answer[0].message.why


def _tick_until_requested(client):
    for step in range(1, 1_000):
        actions = client.tick(step * 50.0)
        requests = [action for action in actions if isinstance(action.message, PromiseRequest)]
        if requests:
            return requests
    raise AssertionError("no promise was requested in 50 s")


# single roles: cases that are rare in generated schedules


def elected_allocator(allocator_plan=None, now=10_000.0):
    """Returns an allocator that has just been elected, and the time."""
    allocator_plan = allocator_plan or plan(voters=1)
    allocator = Allocator(allocator_plan, ADDRESSES[0], 1, Random(1), now)
    (request,) = allocator.tick(now + 60_000.0, "")
    assert allocator.promise_received(now + 60_001.0, Promise(ADDRESSES[0], request.epoch, request.round))
    return allocator, now + 60_001.0


def lease_request(n=1, boot=1, seq=1, epoch=NO_EPOCH, basis=NO_GRANT, held=0, need=50):
    return LeaseRequest(ADDRESSES[n], boot, seq, epoch, basis, (BudgetRequest("quotes", 60, 1, held, need),))


def test_a_lease_runs_from_the_time_of_its_request():
    leased_plan = plan()
    holder = LeaseHolder(leased_plan, ADDRESSES[1], 1, Random(1), 0.0)
    _, request = holder.request(5_000.0)
    grant = LeaseGrant(
        1,
        request.seq,
        (1, 9),
        ADDRESSES[0],
        (9, 1),
        request.basis,
        (("quotes", 20),),
        leased_plan.lease,
        500.0,
    )
    assert not deepcopy(holder).granted(5_000.0 + leased_plan.lease, grant)
    assert holder.granted(5_000.0 + leased_plan.lease - 1.0, grant)
    assert holder.leased(5_000.0 + leased_plan.lease - 0.5, "quotes") == 20
    assert holder.leased(5_000.0 + leased_plan.lease, "quotes") == 0


def test_a_grant_with_another_basis_boot_or_request_is_not_accepted():
    leased_plan = plan()
    holder = LeaseHolder(leased_plan, ADDRESSES[1], 7, Random(1), 0.0)
    _, request = holder.request(100.0)
    for changes in ({"basis": (9, 4)}, {"boot": 8}, {"seq": 99}):
        grant = LeaseGrant(
            7,
            request.seq,
            (1, 9),
            ADDRESSES[0],
            (9, 5),
            request.basis,
            (("quotes", 20),),
            leased_plan.lease,
            500.0,
        )
        assert not holder.granted(200.0, msgspec.structs.replace(grant, **changes))
        assert holder.leased(200.0, "quotes") == 0


def test_a_floor_is_usable_a_window_after_the_start():
    holder = LeaseHolder(plan(), ADDRESSES[1], 1, Random(1), 1_000.0)
    assert holder.held(1_000.0 + 1_009.0, "quotes") == 0
    assert holder.held(1_000.0 + 1_010.0, "quotes") == 1


def test_a_new_epoch_renews_after_an_echo_and_raises_nothing_before_old_leases_expire():
    allocator, now = elected_allocator()
    # A request that does not echo the epoch may have been sent before it.
    redirect = allocator.lease_requested(now, lease_request(held=20, basis=(5, 3)))
    assert isinstance(redirect, Redirect)
    assert redirect.epoch == allocator.epoch
    renewed = allocator.lease_requested(
        now, lease_request(seq=2, epoch=allocator.epoch, held=20, basis=(5, 3))
    )
    assert dict(renewed.slots) == {"quotes": 20}
    assert renewed.basis == (5, 3)
    new = allocator.lease_requested(now, lease_request(n=2, epoch=allocator.epoch))
    assert dict(new.slots) == {"quotes": 0}
    later = now + allocator.plan.lease_bound + 1_011.0
    allocator.until = later + 1.0
    raised = allocator.lease_requested(later, lease_request(n=2, seq=2, epoch=allocator.epoch, basis=new.id))
    assert dict(raised.slots)["quotes"] > 0


def test_slots_of_an_earlier_start_stay_in_the_ledger_until_their_lease_expires():
    allocator, now = elected_allocator()
    now += allocator.plan.lease_bound + 1_011.0
    allocator.until = now + 60_000.0
    first = allocator.lease_requested(now, lease_request(epoch=allocator.epoch, need=60))
    leased = dict(first.slots)["quotes"]
    assert leased > 40
    restarted = allocator.lease_requested(now + 100.0, lease_request(boot=2, epoch=allocator.epoch, need=60))
    assert dict(restarted.slots)["quotes"] <= 54 - leased
    expired_at = now + allocator.plan.lease_bound + 1.0
    allocator.ledger.divide(expired_at)
    assert allocator.ledger.cooling_slots["quotes"] >= leased - 1  # their slots cool down for a window
    assert allocator.ledger.available(expired_at, "quotes") <= 54 - leased
    assert allocator.ledger.available(expired_at + 1_011.0, "quotes") >= leased


def test_requests_are_paced_if_voters_redirect_to_each_other():
    holder = LeaseHolder(plan(), ADDRESSES[4], 1, Random(1), 0.0)
    holder.redirected(0.0, Redirect(NO_EPOCH, ADDRESSES[0]))  # before any request
    now, requested = 1_000.0, 0
    for n in range(2_000):
        now += 0.5
        holder.redirected(now, Redirect(NO_EPOCH, ADDRESSES[n % 2]))
        if now >= holder.next_request:
            holder.request(now)
            requested += 1
    assert 2 < requested <= 21


def test_voters_with_different_times_deny_each_other():
    a, b = (LeaseClient(plan(promise=p), ADDRESSES[n], 1, 1, 0.0) for n, p in ((1, 3_000.0), (0, 5_000.0)))
    requested = _tick_until_requested(b)[0].message
    assert "other times" in a.message_received(20_000.0, requested)[0].message.why


def test_the_definition_of_a_budget_does_not_change_while_slots_are_leased():
    client = LeaseClient(plan(total=60, floor=2), ADDRESSES[1], 1, 1, 0.0)
    longer = Budget("quotes", "set-ups", 240, 8, 4000.0)
    more = Budget("more", "repeats", 10, 1, 1000.0)
    client.change_plan(1.0, Plan((longer, more), ADDRESSES[:6], ADDRESSES[:3]))
    assert client.plan.budgets == (Budget("quotes", "set-ups", 60, 2, 1000.0), Budget("more", "repeats", 10))
    client.change_plan(2.0, plan(total=40, floor=1))
    assert client.plan.by_name["quotes"] == Budget("quotes", "set-ups", 40, 1, 1000.0)
    client.change_plan(3.0, plan(total=80, floor=5))
    assert client.plan.by_name["quotes"] == Budget("quotes", "set-ups", 80, 1, 1000.0)


def test_the_largest_messages_fit_a_datagram():
    address, big = "255.255.255.255:65535", (1 << 62) - 1
    requests = tuple(
        BudgetRequest(f"{n:032d}", 10_000_000, 10_000_000, 10_000_000, 10_000_000, 1.5) for n in range(16)
    )
    slots = tuple((request.name, 10_000_000) for request in requests)
    epoch, grant_id = (1 << 52, big), (big, 1 << 52)
    for message in (
        LeaseRequest(address, big, 1 << 52, epoch, grant_id, requests),
        LeaseGrant(big, 1 << 52, epoch, address, grant_id, grant_id, slots, 1e5, 1e5),
    ):
        assert len(msgspec.msgpack.encode(message)) <= 1_300


def test_gained_floor_fractions_cool_down_also_after_a_second_gain():
    floors = FloorFraction(0.0, 4_000.0)
    floors.update(0.0, 0.5)
    assert floors.usable(3_999.0, 4_000.0) == 0.0
    assert floors.usable(4_000.0, 4_000.0) == 0.5
    floors.update(1_600.0, 1.0)
    assert floors.usable(1_600.0, 4_000.0) == 0.0
    assert floors.usable(5_600.0, 4_000.0) == 1.0
    floors.update(9_000.0, 0.5)  # a lower fraction applies at once
    assert floors.usable(9_000.0, 4_000.0) == 0.5
