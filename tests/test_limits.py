"""The module is read aloud after an outage: its size is limited."""

from pathlib import Path

MODULE = Path(__file__).parent.parent / "softswitch" / "policy.py"


def test_module_size():
    lines = MODULE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(map(len, lines)) <= 110
    assert "softswitch/interface.py" in lines[0]
