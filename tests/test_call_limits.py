"""Limits by called number and by tenant: alone, in the decision module, and on sockets."""

import json
import random

import pytest
from support.harness import Stage
from support.policy_driver import (
    CLASSES,
    answer,
    call,
    end_attempt,
    endpoint,
    overload,
    sent_attempts,
    settings,
)
from support.settings import INFO

from softswitch import Controller
from softswitch import interface as i
from softswitch.limits.call_limits import CallLimits
from softswitch.limits.called_numbers import FIRST_INTERVAL, MAX_INTERVAL, REMOVE_AFTER, CalledNumbers
from softswitch.limits.tenants import BURST, TenantQuotas
from softswitch.net.engine_codec import (
    MAX_RETRY_AFTER,
    MessageType,
    Parameter,
    decode_message,
    encode_message,
)
from softswitch.settings import check_settings


def test_a_busy_number_closes_for_doubling_intervals_and_other_numbers_do_not():
    numbers, now, waits = CalledNumbers(), 0.0, []
    for _ in range(6):
        assert numbers.admit(now, "7") == 0.0
        numbers.busy(now, "7")
        waits.append(numbers.admit(now, "7"))
        assert numbers.admit(now, "8") == 0.0
        now += waits[-1]
    assert waits[:4] == [FIRST_INTERVAL, 2 * FIRST_INTERVAL, 4 * FIRST_INTERVAL, MAX_INTERVAL]
    assert waits[-1] == MAX_INTERVAL
    assert (numbers.rejected, numbers.probes) == (6, 5)


def test_one_probe_at_a_time_and_its_answer_opens_the_number():
    numbers = CalledNumbers()
    numbers.busy(0.0, "7")
    assert numbers.admit(FIRST_INTERVAL, "7") == 0.0
    assert numbers.admit(FIRST_INTERVAL + 1, "7") > 0.0
    numbers.answered(FIRST_INTERVAL + 50, "7", "a")
    assert numbers.admit(FIRST_INTERVAL + 51, "7") == 0.0


def test_the_end_of_an_established_call_frees_its_line_at_once():
    numbers = CalledNumbers()
    numbers.busy(0.0, "7")
    numbers.answered(10.0, "7", "a")
    numbers.busy(20.0, "7")
    assert numbers.admit(21.0, "7") > 0.0
    numbers.ended(30.0, "another")
    assert numbers.admit(31.0, "7") > 0.0
    numbers.ended(40.0, "a")
    assert numbers.admit(41.0, "7") == 0.0
    assert not numbers.established


def test_a_number_that_was_not_busy_for_long_is_removed():
    numbers = CalledNumbers()
    numbers.busy(0.0, "7")
    assert numbers.admit(REMOVE_AFTER + 1, "7") == 0.0
    assert not numbers.numbers


def test_memory_is_bounded_and_the_number_busy_longest_ago_is_evicted_first():
    numbers = CalledNumbers(max_numbers=3, max_established=2)
    for n in range(5):
        numbers.busy(float(n), str(n))
    numbers.busy(5.0, "2")
    numbers.busy(6.0, "9")
    assert list(numbers.numbers) == ["4", "2", "9"]
    for call_id in "abc":
        numbers.answered(7.0, "9", call_id)
    assert list(numbers.established) == ["b", "c"]


def simulate(seed, with_limits, lines=4, softswitches=5, seconds=60.0):
    """Simulates softswitches that call one number with few lines; events are delayed at random.

    Returns the failed call setups per second, and the fraction of the lines in use.
    """
    rng = random.Random(seed)
    tables = [CalledNumbers() for _ in range(softswitches)]
    events, order, in_use, failed, used, now = [], 0, 0, 0, 0.0, 0.0
    while now < seconds * 1000:
        step = rng.expovariate(20 / 1000)  # 20 calls a second
        used += in_use * step
        now += step
        for at, _, outcome, table, call_id in sorted(e for e in events if e[0] <= now):
            if outcome == "answered":
                table.answered(at, "7", call_id)
            elif outcome == "busy":
                table.busy(at, "7")
            else:
                in_use -= 1
                table.ended(at, call_id)
        events = [e for e in events if e[0] > now]
        table, order = rng.choice(tables), order + 1
        if with_limits and table.admit(now, "7"):
            continue
        answer_at, call_id = now + rng.uniform(5, 60), str(order)
        if in_use < lines:
            in_use += 1
            events.append((answer_at, order, "answered", table, call_id))
            events.append((answer_at + rng.expovariate(1 / 9000), order, "ended", table, call_id))
        else:
            failed += 1
            events.append((answer_at, order, "busy", table, call_id))
    return failed / seconds, used / (now * lines)


@pytest.mark.parametrize("seed", range(8))
def test_failed_call_setups_become_rare_and_the_lines_stay_in_use(seed):
    unlimited, _ = simulate(seed, with_limits=False)
    failed, used = simulate(seed, with_limits=True)
    assert unlimited > 15.0
    assert failed < unlimited / 5
    assert used > 0.6


def start_controller(**changes):
    c = Controller(settings(**changes), 1, CallLimits(settings(**changes)))
    c.start(0.0)
    c.handle(
        0.0,
        i.EndpointsChanged(i.UpdateKind.COMPLETE, tuple(endpoint(s, n) for n, s in enumerate(("a", "b")))),
    )
    return c


def test_the_module_does_not_retry_a_busy_number_and_rejects_the_next_call_to_it():
    c = start_controller()
    assert sent_attempts(call(c, 10.0, "x", number="7"))
    actions = end_attempt(c, 50.0, "x", "a", i.Outcome.ERROR, callee_busy=True)
    assert not sent_attempts(actions)
    assert [a.call for a in actions if isinstance(a, i.Reject)] == ["x"]
    assert [type(a) for a in call(c, 60.0, "y", number="7") if not isinstance(a, i.StartTimer)] == [i.Reject]
    assert sent_attempts(call(c, 61.0, "z", number="8"))
    assert c.gates["a"].failures == 0.0
    probe = call(c, 51.0 + FIRST_INTERVAL, "p", number="7")
    assert sent_attempts(probe)
    answer(c, 600.0, "p", "a")
    assert sent_attempts(call(c, 610.0, "q", number="7"))


def test_without_a_number_nothing_is_limited():
    c = start_controller()
    assert sent_attempts(call(c, 10.0, "x"))
    end_attempt(c, 50.0, "x", "a", i.Outcome.ERROR, callee_busy=True)
    assert sent_attempts(call(c, 60.0, "y"))


@pytest.mark.parametrize(
    ("text", "wait"),
    [(b"350", 350.0), (b"", 0.0), (b"-5", 0.0), (b"1e9", 0.0), (b"9" * 9, MAX_RETRY_AFTER), (b"9" * 10, 0.0)],
)
def test_the_retry_after_time_of_a_full_processor_is_decoded_or_zero(text, wait):
    release = encode_message(
        MessageType.RELEASE,
        "00" * 8,
        (Parameter.CAUSE, b"\x22"),
        (Parameter.NOTE, b"cpu_full"),
        (Parameter.RETRY_AFTER, text),
    )
    assert decode_message(release).retry_after == wait


def test_the_retry_after_time_of_a_full_processor_stops_calls_to_it_on_sockets():
    with Stage(engines=1) as s:
        s.play("""
            c0 send INVITE 1 X-Patience=400
            e0 expect SET_UP {1}
            e0 send RELEASE 1 31=34 17=cpu_full 19=2000
            c0 expect SIP/2.0 503 .*{1}
            c0 wait 200
            c0 send INVITE 2 X-Patience=500
            e0 expect nothing 400
            c0 expect SIP/2.0 503 .*{2}
            """)


def test_a_busy_number_is_rejected_and_other_numbers_are_not_on_sockets():
    with Stage() as s:
        s.play("""
            c0 send INVITE 1 number=55
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 .*{1}
            c0 send INVITE 2 number=55
            e0 expect SET_UP {2}
            e0 send RELEASE 2 31=17 17=number_busy
            c0 expect SIP/2.0 503 .*{2}
            e1 expect nothing 100
            c0 send INVITE 3 number=55
            c0 expect SIP/2.0 503 .*{3}
            c0 send INVITE 4 number=66
            e0 expect SET_UP {4}
            e0 send ANSWER 4 33=d
            c0 expect 200 .*{4}
            """)


ACME, BOLT = i.Tenant("acme", 10.0), i.Tenant("bolt", 5.0)
PLAIN, PRIORITY = CLASSES
QUOTAS = {"tenants": (ACME, BOLT), "over_quota_weight": 0.1}


def test_calls_of_a_tenant_over_its_fraction_of_the_quota_have_less_weight():
    quotas = TenantQuotas(settings(**QUOTAS))
    burst = round(ACME.quota * BURST / 1000 / 2)  # this softswitch has half of all calls
    factors = [quotas.weight_factor(0.0, "acme", PLAIN, 0.5) for _ in range(burst + 3)]
    assert factors == [1.0] * burst + [0.1] * 3
    assert quotas.weight_factor(0.0, "bolt", PLAIN, 0.5) == 1.0
    assert quotas.weight_factor(0.0, "", PLAIN, 0.5) == 1.0
    assert quotas.weight_factor(0.0, "unknown", PLAIN, 0.5) == 1.0
    assert quotas.weight_factor(0.0, "acme", PRIORITY, 0.5) == 1.0  # only the lowest weight is reduced
    assert quotas.weight_factor(201.0, "acme", PLAIN, 0.5) == 1.0  # a token each 200 ms
    assert quotas.weight_factor(202.0, "acme", PLAIN, 0.5) == 0.1
    assert quotas.over_quota_calls == 5


def test_new_settings_keep_the_tokens_of_tenants_that_remain():
    quotas = TenantQuotas(settings(**QUOTAS))
    while quotas.weight_factor(0.0, "acme", PLAIN, 1.0) == 1.0:
        pass
    quotas.apply(settings(tenants=(ACME,), over_quota_weight=0.2))
    assert quotas.weight_factor(1.0, "acme", PLAIN, 1.0) == 0.2
    assert list(quotas.buckets) == ["acme"]
    quotas.apply(settings())
    assert quotas.weight_factor(2.0, "acme", PLAIN, 1.0) == 1.0


@pytest.mark.parametrize("seed", range(6))
def test_unequal_softswitches_find_about_as_many_calls_over_the_quota_as_one_would(seed):
    """Each has its true fraction of all calls; the error of equal fractions is on the design page."""
    rng = random.Random(seed)
    fractions = [rng.uniform(0.2, 3.0) for _ in range(6)]
    fractions = [fraction / sum(fractions) for fraction in fractions]
    quotas = [TenantQuotas(settings(**QUOTAS)) for _ in fractions]
    now, calls = 0.0, 0
    while now < 60_000.0:
        now += rng.expovariate(20 / 1000)  # twice the quota of acme
        n = rng.choices(range(len(fractions)), fractions)[0]
        quotas[n].weight_factor(now, "acme", PLAIN, fractions[n])
        calls += 1
    assert 0.35 < sum(q.over_quota_calls for q in quotas) / calls < 0.55


def test_under_overload_a_call_over_the_quota_waits_behind_one_within_it():
    c = start_controller(**QUOTAS)
    for n in range(40):  # more than the burst
        call(c, 1000.0, f"used{n}", tenant="acme")
    for server in "ab":
        overload(c, 1000.0, server)
        c.gates[server].probed_at = 1000.0
    assert not sent_attempts(call(c, 1001.0, "within", tenant="bolt"))
    assert not sent_attempts(call(c, 1001.0, "over", tenant="acme"))
    assert c.calls["over"].weight == pytest.approx(0.1)
    assert c.calls["within"].weight == 1.0
    for server in "ab":  # the endpoint answers in time
        c.gates[server].estimate.delay = c.gates[server].overloaded_until = 0.0
        c.gates[server].in_flight.clear()
    sent = [a.call for a in sent_attempts(c.handle(1100.0, i.TimerFired(-1)))]
    assert sent.index("within") < sent.index("over")


def test_a_tenant_over_its_quota_is_served_while_there_is_capacity_on_sockets():
    accounts = [{"name": "acme", "quota_per_s": 1.0}]
    with Stage(settings={"accounts": accounts, "over_share_worth": 0.1}) as s:
        for n in range(1, 9):
            s.play(f"""
                c0 send INVITE {n} Organization=acme
                e0 expect SET_UP {{{n}}}
                e0 send ANSWER {n} 33=d
                c0 expect 200 .*{{{n}}}
                """)
        s.play("p send SIGUSR1\nc0 wait 200")
        assert '"beyond their tenant\'s quota":' in s.log_text()


def test_an_account_without_a_quota_has_no_limit():
    accepted = check_settings(INFO | {"accounts": [{"name": "a"}, {"name": "b", "quota_per_s": 2}]})
    assert accepted.tenants == (i.Tenant("b", 2),)


@pytest.mark.parametrize(
    ("accounts", "key"),
    [
        ("acme", "settings.accounts: a list is required"),
        ([{"quota_per_s": 1}], "settings.accounts[0].name is missing"),
        ([{"name": "acme", "quota_per_s": -1}], "settings.accounts[0].quota_per_s: -1 is not"),
        ([{"name": "a", "quota_per_s": 1}] * 2, "settings.accounts[1].name: 'a' is there twice"),
    ],
)
def test_invalid_accounts_are_rejected_with_their_key_and_lose_no_call(accounts, key):
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}")
        invalid = s.config_document | {"settings": INFO | {"accounts": accounts}}
        s.play(f"p config {json.dumps(invalid)}")
        s.play("c0 wait 200\ne0 send ANSWER 1 33=d\nc0 expect 200 .*{1}")
        assert key in s.log_text()
