"""Runs the command line as ``python -m coppercleat``."""

import sys

from coppercleat.cli import main

if __name__ == "__main__":
    sys.exit(main())
