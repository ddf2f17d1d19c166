"""`python -m softswitch.cli` is the `softswitch` command."""

import sys

from softswitch.cli import main

if __name__ == "__main__":
    sys.exit(main())
