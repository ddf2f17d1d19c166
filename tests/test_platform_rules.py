"""The softswitch runs under the system call filter of the fleet's test; the deploy file is valid."""

import os
import re
import tempfile
from pathlib import Path

from support.harness import ROOT, Stage


def test_starts_serves_reloads_and_stops_under_the_filter():
    with tempfile.TemporaryDirectory() as tmp:
        Path(tmp, "willowhitch-left-over").touch()
        command = (str(ROOT / "tests" / "support" / "seccomp_filter.py"), "softswitch")
        with Stage(engines=1, env={"TMPDIR": tmp}, command=command) as s:
            s.play("""
                c0 send INVITE 1
                e0 expect SET_UP {1}
                e0 send ANSWER 1 33=d
                c0 expect 200 OK
                p config b2
                b2 expect after 3
                m0 send POST /v1/softswitch/drain
                m0 expect 200
                m1 send POST /v1/softswitch/activate
                m1 expect 200
                e0 send RELEASE 1 31=16
                c0 expect ^BYE
                p send SIGTERM
                p expect 0
                """)
            log = s.log_text()
        assert log.count("handover: not offered") == 1 and "configuration reloaded" in log, log
        assert "fault" not in log and "ERROR" not in log, log


def test_the_deploy_file_execs_the_softswitch_and_leaves_optional_features_off():
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert re.search(r"(^|= )exec \.venv/bin/python -m softswitch$", deploy["run"])
    assert not re.search(r"[;&|]", deploy["run"].removeprefix("trap '' HUP; "))  # `trap` is a shell builtin
    assert tomllib.loads((ROOT / "deploy" / "control.toml").read_text())["listen"] == ""
    for path in deploy["policy"] + deploy["node"]:
        assert os.path.exists(ROOT / path), path
