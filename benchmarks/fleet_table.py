"""A table of simulated days from the journal: `fleet_table.py [--why TEXT] [--head COMMIT] [FILE...]`.

One row per day: site, day, seed, softswitches, violated rules or crash, fraction served and required, the
worst class and tenant with theirs, score. Reads the given files, or all of journal/; --why and --head select
entries by their note and by the commit that was run. The journal has no figures by third of a day: the bench
checks those.
"""

import argparse
import json
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def worst(groups: list[tuple[str, float, float]]) -> str:
    """Returns the class or tenant with the smallest margin over its required fraction, which may be negative.

    groups: (name, fraction served, fraction required).
    """
    if not groups:
        return "-"
    name, served, required = min(groups, key=lambda g: g[1] - g[2])
    return f"{name} {served:.3f} of {required:.3f}"


def rows(entry: dict) -> list[str]:
    """Returns the rows of one journal entry; `kept` means that no rule was violated."""
    sites = [Path(a).stem for a in entry["argv"] if a.endswith(".toml")]
    site = sites[0] if sites else entry.get("site") or "tana-quoting"
    if not entry["days"]:
        return [f"| {site} | - | - | - | {entry['error']} | - | - | - | - |"]
    lines = []
    for day in entry["days"]:
        violated = [name for name, n in day["rules"].items() if n]
        fault = day["fault"] or entry["error"] if len(entry["days"]) == 1 else day["fault"]
        verdict = fault or (", ".join(violated) if violated else "kept")
        cells = (
            site,
            day["name"],
            day["seed"],
            day["nodes"],
            verdict,
            f"{day['served']:.3f} of {day['served_least']:.3f}",
            worst(day["by_class"]),
            worst(day["by_tenant"]),
            f"{day['score']:.2f}",
        )
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return lines


def main() -> None:
    """Prints the table in Markdown."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--why", default="")
    parser.add_argument("--head", default="")
    parser.add_argument("files", nargs="*", type=Path)
    args = parser.parse_args()
    print(
        "| site | day | seed | softswitches | rules | served/required | worst class | worst tenant | score |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for file in args.files or sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(file.read_text())
        if (
            args.why in entry["why"]
            and entry["head"].startswith(args.head)
            and (args.files or args.why or args.head)
        ):
            print("\n".join(rows(entry)))


if __name__ == "__main__":
    main()
