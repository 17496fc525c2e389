"""Entry point of the daemon."""

from lycheevalve.daemon.main import main

main()
