"""The policy package: line lengths, the reference to its types, and its entry in the deploy file."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "softswitch" / "policy"


def test_line_lengths_and_the_reference_to_the_types():
    lines = [line for path in PACKAGE.rglob("*.py") for line in path.read_text().splitlines()]
    assert max(map(len, lines)) <= 110
    assert "softswitch/interface.py" in (PACKAGE / "__init__.py").read_text().splitlines()[0]


def test_the_deploy_file_names_every_file_of_the_policy():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy["policy"]) == sorted(str(path.relative_to(ROOT)) for path in PACKAGE.rglob("*.py"))
