"""The page for on-call staff has every line that the program can log."""

import re
from pathlib import Path

from softswitch.core.counters import Count, CountFamily

ROOT = Path(__file__).parent.parent


def test_every_log_line_is_on_the_page():
    page, found = (ROOT / "docs" / "oncall.md").read_text(), []
    for source in sorted((ROOT / "softswitch").rglob("*.py")):
        for line in re.findall(r"logger\.(?:info|warning|error)\(\s*f?\"([^\"]*)", source.read_text()):
            # what stands before and after the first figure must both be there
            parts = [part.strip() for part in re.split(r"\{[^}]*\}", line)[:2]]
            found.append(line)
            assert all(part in page for part in parts if part), f"{source.name}: {line!r}"
    assert len(found) > 20


def test_every_counter_is_on_the_page():
    page = (ROOT / "docs" / "oncall.md").read_text()
    names = [value for key, value in vars(Count).items() if key.isupper()]
    families = [value for key, value in vars(CountFamily).items() if key.isupper()]
    assert len(names) > 50
    assert len(set(names)) == len(names)
    assert [name for name in names if f"`{name}`" not in page] == []
    assert [name for name in families if f"`{name}" not in page] == []


def test_the_program_counts_by_declared_names_alone():
    free_text = re.compile(r"counters\[f?\"")
    for source in sorted((ROOT / "softswitch").rglob("*.py")):
        assert not free_text.search(source.read_text()), source
