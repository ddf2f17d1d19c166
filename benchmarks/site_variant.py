"""Lays a deployment of our own out for the bench: `site_variant.py deploy/sites/NAME.toml FOLDER`.

The bench wants real.json, wire.json and unlock.txt beside a site file. They belong to the kit and are not
kept here: they are taken from the other customer's folder of it, beside this project, as the folder is made.
"""

import shutil
import sys
from pathlib import Path

KIT = Path(__file__).resolve().parent.parent.parent / "given" / "kit" / "more" / "mass" / "other"
BESIDE = ("real.json", "wire.json", "unlock.txt")


def main(site: str, folder: str) -> int:
    source, target = Path(site), Path(folder)
    if not source.is_file():
        print(f"{source}: no such site file; ours are in deploy/sites/", file=sys.stderr)
        return 2
    if not KIT.is_dir():
        print(f"{KIT}: the kit is not beside the project", file=sys.stderr)
        return 2
    target.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        shutil.copy(KIT / name, target / name)
    print(shutil.copy(source, target / source.name))
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__.splitlines()[0])
    sys.exit(main(*sys.argv[1:]))
