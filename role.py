"""Runs a role of lycheevalve; `python -m` would import twice as much before its first line."""

import sys

from lycheevalve.platform.__main__ import main

sys.exit(main(sys.argv[1:]))
