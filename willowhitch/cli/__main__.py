"""`python -m willowhitch.cli` is the `willowhitch` command."""

import sys

from willowhitch.cli import main

if __name__ == "__main__":
    sys.exit(main())
