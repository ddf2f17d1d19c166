"""Prepares the folder of a site for the bench: `site_variant.py deploy/sites/NAME.toml FOLDER`.

The bench requires real.json, wire.json and unlock.txt in the folder of a site file. They belong to the kit
that contains the bench, and are not stored in this project. They are copied from the kit's folder of the
other customer; the kit is next to this project.
"""

import shutil
import sys
from pathlib import Path

KIT = Path(__file__).resolve().parent.parent.parent / "given" / "kit" / "more" / "mass" / "other"
KIT_FILES = ("real.json", "wire.json", "unlock.txt")


def main(site: str, folder: str) -> int:
    """Copies the kit's files and the site file to the folder; returns the exit code."""
    source, target = Path(site), Path(folder)
    if not source.is_file():
        print(f"{source}: no such site file; the site files are in deploy/sites/", file=sys.stderr)
        return 2
    if not KIT.is_dir():
        print(f"{KIT}: the kit is not next to the project", file=sys.stderr)
        return 2
    target.mkdir(parents=True, exist_ok=True)
    for name in KIT_FILES:
        shutil.copy(KIT / name, target / name)
    print(shutil.copy(source, target / source.name))
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__.splitlines()[0])
    sys.exit(main(*sys.argv[1:]))
