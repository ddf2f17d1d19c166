"""The page for on-call staff has every line that the program can log."""

import re
from pathlib import Path

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
