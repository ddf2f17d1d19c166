"""A table of the fleet's days out of the journal: `fleet_table.py [--why TEXT] [--head COMMIT] [FILE...]`.

One line a day: site, day, seed, softswitches, broken rules or crash, served against what the gate wants, the
worst class and tenant against theirs, score. Without files, all of journal/; --why and --head pick entries by
their note and by the commit that was played. The journal tells no thirds of a day: the bench checks them.
"""

import argparse
import json
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def worst(parts: list[tuple[str, float, float]]) -> str:
    """The class or tenant that is nearest to what the gate wants of it, or furthest under it."""
    if not parts:
        return "-"
    name, served, wanted = min(parts, key=lambda p: p[1] - p[2])
    return f"{name} {served:.3f} of {wanted:.3f}"


def rows(entry: dict) -> list[str]:
    sites = [Path(a).stem for a in entry["argv"] if a.endswith(".toml")]
    site = sites[0] if sites else entry.get("site") or "tana-quoting"
    if not entry["days"]:
        return [f"| {site} | - | - | - | {entry['error']} | - | - | - | - |"]
    made = []
    for day in entry["days"]:
        broken = [name for name, n in day["rules"].items() if n]
        fault = day["fault"] or entry["error"] if len(entry["days"]) == 1 else day["fault"]
        said = fault or (", ".join(broken) if broken else "kept")
        figures = (
            site,
            day["name"],
            day["seed"],
            day["nodes"],
            said,
            f"{day['served']:.3f} of {day['served_least']:.3f}",
            worst(day["by_class"]),
            worst(day["by_tenant"]),
            f"{day['score']:.2f}",
        )
        made.append("| " + " | ".join(map(str, figures)) + " |")
    return made


def main() -> None:
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--why", default="")
    asked.add_argument("--head", default="")
    asked.add_argument("files", nargs="*", type=Path)
    of = asked.parse_args()
    print(
        "| site | day | seed | softswitches | rules | served of wanted | worst class | worst tenant | score |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for file in of.files or sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(file.read_text())
        if of.why in entry["why"] and entry["head"].startswith(of.head) and (of.files or of.why or of.head):
            print("\n".join(rows(entry)))


if __name__ == "__main__":
    main()
