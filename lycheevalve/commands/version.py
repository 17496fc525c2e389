"""`lycheevalve version`: show the version."""

from lycheevalve import __version__
from lycheevalve.commands import output


def version(json=False):
    """
    Show the version.

    Example: lycheevalve version
    """
    output.print_result({"version": __version__}, [__version__], json)
