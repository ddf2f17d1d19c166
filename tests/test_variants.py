"""Settings that are far from one another: under each of them the program starts, serves, repeats, refuses,
drains and stops as these say. Nothing here is any customer's; what is left out is left out on purpose.
"""

import json
import subprocess
import sys
import time

import pytest
from support.harness import ROOT, Stage, call_id
import itertools

KEYED = "idempotency_key"  # may not be refused once an attempt may have run


def lane(name, aim=1500.0, deadline=None, effect=None, **more):
    return (
        {"name": name, "aim": aim, **more}
        | ({"hard_limit": deadline} if deadline else {})
        | ({"idempotency": effect} if effect else {})
    )


VARIANTS = {
    "short and not repeatable beside long": {
        "settings": {
            "lanes": [
                lane("signal.urgent", 300.0, 700.0, "non_idempotent", credit=9.0, late_value=0.0),
                lane("ledger", 4000.0, 20_000.0, "read_like", credit=0.5, late_value=0.6),
            ],
            "fleet_size": 40,
            "family_info": {
                "network_form": "groups",
                "own_number": -1,
                "clear_wait": 350.0,
                "holding": [1200.0, 40_000.0],
                "repeat": 0.0,
            },
            "limits": {
                "may_cancel": True,
                "probes": False,
                "send_cap": 2,
                "retry_after": False,
                "max_retry_after": 900.0,
                "connect_timeout": 150.0,
            },
            "rules": {"cold": 2000.0, "cold_from": 0.8, "overload_factor": 1.5, "overload_for": 300.0},
            "stats": {"fields": ["total", "spare"], "how": "answers"},
            "tick": 2.0,
        },
        "limits": {"sockets": 128, "memory_mb": 48},
    },
    "many classes, tenants, tight memory": {
        "settings": {
            "lanes": [
                lane(f"class-{n}", 400.0 * n, 900.0 * n, (None, KEYED, "read_like")[n % 3], credit=n)
                for n in range(1, 7)
            ],
            "accounts": [
                {"name": "alpha", "quota_per_s": 20.0, "fraction": 0.7},
                {"name": "b", "fraction": 0.3},
            ],
            "over_share_worth": 0.1,
            "fleet_size": 3,
            "family_info": {
                "network_form": "groups",
                "clear_wait": 0.0,
                "holding": [900.0] * 6,
                "skilled_pools": [[0, 1], [1], [0, 1], None, [0, 1], [0]],
            },
            "limits": {"may_cancel": False, "send_cap": 6, "retry_after": True, "max_retry_after": 60_000.0},
            "rules": {},
            "stats": {"fields": ["x0", "x1", "queue", "util"]},
            "tick": 20.0,
        },
        "limits": {"sockets": 256, "memory_mb": 32},
    },
    "one class and nothing else": {
        "settings": {
            "lanes": [lane("only")],
            "fleet_size": 1,
            "family_info": {},
            "limits": {},
            "rules": {},
            "stats": {},
            "tick": 1.0,
        },
        "limits": {},
    },
    "long quiet time, one attempt": {
        "settings": {
            "lanes": [
                lane("slow", 9000.0, 30_000.0, "read_like"),
                lane("unknown-effect", 800.0, 2_500.0, "other"),
            ],
            "family_info": {"network_form": "groups", "clear_wait": 900.0},
            "limits": {"send_cap": 1, "retry_after": True, "max_retry_after": 250.0, "probes": True},
            "stats": {"fields": []},
            "tick": 10.0,
        },
        "limits": {"sockets": 96, "memory_mb": 40},
    },
}
EACH = pytest.mark.parametrize("variant", VARIANTS.values(), ids=VARIANTS)


def stage(variant):
    return Stage(settings=variant["settings"], config={"limits": variant["limits"]})


def classes(variant):
    """Of each class: name, whether a set-up that may have run may be repeated, and its pools."""
    pools = variant["settings"]["family_info"].get("skilled_pools") or []
    for n, one in enumerate(variant["settings"]["lanes"]):
        yield (
            one["name"],
            one.get("idempotency", "read_like") == "read_like",
            (pools[n] if n < len(pools) else None) or [0, 1],
        )


@EACH
def test_each_class_is_served_where_it_may_go_and_released(variant):
    with stage(variant) as s:
        for n, (name, _, pools) in enumerate(classes(variant), 1):
            engine = f"e{pools[0]}"
            s.play(
                f"c0 send INVITE {n} Subject={name} X-Facts=dest:{pools[0]} body=d{n}\n"
                f"{engine} expect SET_UP {{{n}}} 3={name} .*33=d{n}\n"
                f"{engine} send ANSWER {n} 33=a{n}\nc0 expect 200 OK.*INVITE.*a{n}$\n"
                f"{engine} send RELEASE {n} 31=16\nc0 expect BYE.*{{{n}}}"
            )


@EACH
def test_attempts_and_quiet_time_are_those_of_the_settings(variant):
    info = variant["settings"]
    quiet, most = info["family_info"].get("clear_wait", 0.0), info["limits"].get("send_cap", 1)
    one_of_each = {repeatable: name for name, repeatable, _ in classes(variant)}
    for repeatable, name in one_of_each.items():
        with stage(variant) as s:
            came, ended = [], []

            def reset(party, said, came=came, ended=ended, s=s):
                if said.startswith("SET_UP"):
                    came.append((time.monotonic(), party))
                    s.parties[party].send(f"RELEASE {call_id(1)} 31=41")
                elif said.startswith("SIP/2.0"):
                    ended.append(said)

            s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 50")
            s.hook = reset
            s.play(f"c0 send INVITE 1 Subject={name} X-Patience=2500 X-Facts=dest:0;width:1")
            until = time.monotonic() + 3.0
            while not ended and time.monotonic() < until:
                s.pump(0.05)
            gaps = [b[0] - a[0] for a, b in itertools.pairwise(came)]
            assert len(ended) == 1 and 1 <= len(came) <= (most if repeatable else 1), (name, came, ended)
            assert all(gap >= quiet / 1000 for gap in gaps), (name, gaps)
            assert ended[0].startswith("SIP/2.0 503" if repeatable else "SIP/2.0 500"), (name, ended)


@EACH
def test_drained_engines_get_nothing_and_advice_is_given_where_the_settings_have_it(variant):
    limits = variant["settings"]["limits"]
    advised = limits.get("max_retry_after", 0.0) if limits.get("retry_after") else 0.0
    with stage(variant) as s:
        name = next(classes(variant))[0]
        s.play(
            f"b expect after 3\nb send 4 gone e0\nb send 5 gone e1\ne0 expect end\ne1 expect end\n"
            f"c0 send INVITE 1 Subject={name} X-Patience=600\nc0 send INVITE 2 Subject=no.such.class"
        )
        said = sorted(s.next("c0") for _ in range(2))
        assert all(a.startswith("SIP/2.0 503") for a in said), said
        for answer in said:
            assert ("X-Later-Ms" in answer) <= (advised > 0), answer
        own = next(a for a in said if call_id(1) in a)
        assert (f"X-Later-Ms: {advised:.0f}|" in own) == (advised > 0), own
        for n in range(100, 165):  # one more than one connection may have open before any call stood there
            s.play(f"c1 send INVITE {n} Subject={name} X-Patience=600")
        first = s.next("c1")
        assert call_id(164) in first and ("X-Later-Ms" in first) == (advised > 0), first
        s.play("e0 expect nothing 50\ne1 expect nothing 50")


@EACH
def test_a_stop_answers_what_is_open_and_ends_by_the_longest_deadline_of_these_settings(variant):
    deadline = max(min(one.get("hard_limit", 3000.0), 3000.0) for one in variant["settings"]["lanes"])
    with stage(variant) as s:
        name = next(classes(variant))[0]
        s.play(f"c0 send INVITE 1 Subject={name} X-Patience=60000 X-Facts=dest:0\ne0 expect SET_UP {{1}}")
        began = time.monotonic()
        s.play("p send SIGTERM\nc1 send INVITE 2 X-Patience=200 Subject=" + name)  # it is still taken in
        s.play("c0 expect SIP/2.0 (503|500).*INVITE")
        s.next("c1")
        assert s.program.wait(5) == 0
        assert time.monotonic() - began <= deadline / 1000 + 0.7, "SIGKILL would have come first"


@pytest.mark.parametrize(
    ("key", "bad"),
    [
        ("lanes", None),
        ("lanes", []),
        ("lanes", [{"name": "x"}]),
        ("lanes", [lane("x"), lane("x")]),
        ("lanes", [lane("x", aim=0)]),
        ("lanes", [lane("x", deadline=-1)]),
        ("lanes", [lane("x", late_value=2)]),
        ("limits", {"send_cap": 0}),
        ("limits", {"send_cap": "six"}),
        ("limits", {"max_retry_after": -1}),
        ("limits", {"probes": 1}),
        ("rules", {"cold_from": 0}),
        ("rules", {"overload_for": 0}),
        ("family_info", {"clear_wait": -5}),
        ("family_info", {"skilled_pools": [["a"]]}),
        ("stats", {"fields": "x0"}),
        ("fleet_size", 0),
        ("tick", 0),
        ("limits", []),
    ],
)
def test_settings_that_can_not_be_taken_are_one_line_that_names_the_key(key, bad, tmp_path):
    made = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "board": "127.0.0.1:1",
        "settings": {"lanes": [lane("x")]} | {key: bad},
    }
    file = tmp_path / "config.json"
    file.write_text(json.dumps(made))
    done = subprocess.run(
        [sys.executable, "-m", "softswitch"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env={"BALANCER_CONFIG": str(file), "PATH": "/usr/bin:/bin"},
    )
    line = done.stderr.strip()
    assert done.returncode == 2 and "\n" not in line and f"settings.{key}" in line, line
