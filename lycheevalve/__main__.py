"""Entry point of the command-line tool `lycheevalve`."""

import fire

from lycheevalve.commands.apply import apply
from lycheevalve.commands.check import check
from lycheevalve.commands.diff import diff
from lycheevalve.commands.drain import drain, undrain
from lycheevalve.commands.evacuate import evacuate, restore
from lycheevalve.commands.explain import explain
from lycheevalve.commands.flows import flows
from lycheevalve.commands.replicas import replicas
from lycheevalve.commands.report import report
from lycheevalve.commands.services import services
from lycheevalve.commands.status import status
from lycheevalve.commands.upstreams import upstreams
from lycheevalve.commands.version import version

COMMANDS = {
    command.__name__: command
    for command in (
        apply,
        check,
        diff,
        drain,
        evacuate,
        explain,
        flows,
        replicas,
        report,
        restore,
        services,
        status,
        undrain,
        upstreams,
        version,
    )
}


def main():
    """Run the command line."""
    fire.Fire(COMMANDS, name="lycheevalve")


if __name__ == "__main__":
    main()
