"""Runs the program under very different settings, which it has to follow from its start to its stop.

None of the settings is a customer's. Some keys are omitted on purpose.
"""

import json
import subprocess
import sys
import time

import pytest
from support.harness import ROOT, Stage, call_id
import itertools

IDEMPOTENCY_KEY = "idempotency_key"  # not rejected once an attempt may have run


def lane(name, aim=1500.0, deadline=None, idempotency=None, **more):
    return (
        {"name": name, "aim": aim, **more}
        | ({"hard_limit": deadline} if deadline else {})
        | ({"idempotency": idempotency} if idempotency else {})
    )


VARIANTS = {
    "short and non-idempotent class beside a long one": {
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
    "many classes, tenants, little memory": {
        "settings": {
            "lanes": [
                lane(
                    f"class-{n}", 400.0 * n, 900.0 * n, (None, IDEMPOTENCY_KEY, "read_like")[n % 3], credit=n
                )
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
    "long retry delay, one attempt": {
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
EACH_VARIANT = pytest.mark.parametrize("variant", VARIANTS.values(), ids=VARIANTS)


def stage(variant):
    return Stage(settings=variant["settings"], config={"limits": variant["limits"]})


def classes(variant):
    """Yields for each class: its name, whether it is idempotent, and its cells."""
    cells = variant["settings"]["family_info"].get("skilled_pools") or []
    for n, info in enumerate(variant["settings"]["lanes"]):
        yield (
            info["name"],
            info.get("idempotency", "read_like") == "read_like",
            (cells[n] if n < len(cells) else None) or [0, 1],
        )


@EACH_VARIANT
def test_calls_of_each_class_are_established_at_its_cells_and_released(variant):
    with stage(variant) as s:
        for n, (name, _, cells) in enumerate(classes(variant), 1):
            engine = f"e{cells[0]}"
            s.play(
                f"c0 send INVITE {n} Subject={name} X-Facts=dest:{cells[0]} body=d{n}\n"
                f"{engine} expect SET_UP {{{n}}} 3={name} .*33=d{n}\n"
                f"{engine} send ANSWER {n} 33=a{n}\nc0 expect 200 OK.*INVITE.*a{n}$\n"
                f"{engine} send RELEASE {n} 31=16\nc0 expect BYE.*{{{n}}}"
            )


@EACH_VARIANT
def test_the_attempts_and_the_retry_delay_are_those_of_the_settings(variant):
    info = variant["settings"]
    retry_delay, max_attempts = info["family_info"].get("clear_wait", 0.0), info["limits"].get("send_cap", 1)
    one_of_each = {idempotent: name for name, idempotent, _ in classes(variant)}
    for idempotent, name in one_of_each.items():
        with stage(variant) as s:
            attempts, answers = [], []

            def reset(party, message, attempts=attempts, answers=answers, s=s):
                if message.startswith("SET_UP"):
                    attempts.append((time.monotonic(), party))
                    s.parties[party].send(f"RELEASE {call_id(1)} 31=41")
                elif message.startswith("SIP/2.0"):
                    answers.append(message)

            s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 50")
            s.hook = reset
            s.play(f"c0 send INVITE 1 Subject={name} X-Patience=2500 X-Facts=dest:0;width:1")
            until = time.monotonic() + 3.0
            while not answers and time.monotonic() < until:
                s.pump(0.05)
            gaps = [b[0] - a[0] for a, b in itertools.pairwise(attempts)]
            assert len(answers) == 1 and 1 <= len(attempts) <= (max_attempts if idempotent else 1), (
                name,
                attempts,
                answers,
            )
            assert all(gap >= retry_delay / 1000 for gap in gaps), (name, gaps)
            assert answers[0].startswith("SIP/2.0 503" if idempotent else "SIP/2.0 500"), (name, answers)


@EACH_VARIANT
def test_removed_engines_get_no_calls_and_retry_after_is_sent_as_the_settings_say(variant):
    limits = variant["settings"]["limits"]
    retry_after = limits.get("max_retry_after", 0.0) if limits.get("retry_after") else 0.0
    with stage(variant) as s:
        name = next(classes(variant))[0]
        s.play(
            f"b expect after 3\nb send 4 gone e0\nb send 5 gone e1\ne0 expect end\ne1 expect end\n"
            f"c0 send INVITE 1 Subject={name} X-Patience=600\nc0 send INVITE 2 Subject=no.such.class"
        )
        answers = sorted(s.next("c0") for _ in range(2))
        assert all(a.startswith("SIP/2.0 503") for a in answers), answers
        for answer in answers:
            assert ("X-Later-Ms" in answer) <= (retry_after > 0), answer
        own = next(a for a in answers if call_id(1) in a)
        assert (f"X-Later-Ms: {retry_after:.0f}|" in own) == (retry_after > 0), own
        for n in range(
            100, 165
        ):  # one more than a connection may have open before a call is established on it
            s.play(f"c1 send INVITE {n} Subject={name} X-Patience=600")
        first = s.next("c1")
        assert call_id(164) in first and ("X-Later-Ms" in first) == (retry_after > 0), first
        s.play("e0 expect nothing 50\ne1 expect nothing 50")


@EACH_VARIANT
def test_a_stop_answers_open_calls_and_ends_by_the_longest_deadline_of_the_settings(variant):
    deadline = max(min(info.get("hard_limit", 3000.0), 3000.0) for info in variant["settings"]["lanes"])
    with stage(variant) as s:
        name = next(classes(variant))[0]
        s.play(f"c0 send INVITE 1 Subject={name} X-Patience=60000 X-Facts=dest:0\ne0 expect SET_UP {{1}}")
        started_at = time.monotonic()
        s.play("p send SIGTERM\nc1 send INVITE 2 X-Patience=200 Subject=" + name)  # it is still accepted
        s.play("c0 expect SIP/2.0 (503|500).*INVITE")
        s.next("c1")
        assert s.program.wait(5) == 0
        assert time.monotonic() - started_at <= deadline / 1000 + 0.7, "SIGKILL would have come first"


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
def test_invalid_settings_are_reported_in_one_line_that_names_the_key(key, bad, tmp_path):
    config = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "board": "127.0.0.1:1",
        "settings": {"lanes": [lane("x")]} | {key: bad},
    }
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    process = subprocess.run(
        [sys.executable, "-m", "softswitch"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env={"BALANCER_CONFIG": str(file), "PATH": "/usr/bin:/bin"},
    )
    line = process.stderr.strip()
    assert process.returncode == 2 and "\n" not in line and f"settings.{key}" in line, line
