"""The command line: the group of all commands, and the conversion of errors to messages and exit codes.

Handles arguments and output only; a command imports the packages that do the work when it runs. Owns no
state. Errors: invalid input prints one line and exits with code 2, a missing extra prints one line and exits
with code 1.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from stepflow import __version__
from stepflow.cli.check import EXIT_BAD_INPUT, check
from stepflow.cli.fleet import fleet
from stepflow.cli.fleet_studies import EXIT_FAILED  # importing it adds its commands to the group
from stepflow.errors import InputError

EXIT_INTERRUPTED = 130  # the code of shells for a program that was ended by SIGINT
EXTRA_PACKAGES = ("numpy", "pyarrow", "scipy")  # installed by the extra `fleet`


@click.group(
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
    epilog="Exit codes: 0 done, 1 failed, 2 bad input, 130 stopped by Ctrl-C.",
)
@click.version_option(__version__, prog_name="stepflow", message="%(prog)s %(version)s")
def stepflow() -> None:
    """A TCP balancer for long-lived map sessions. Without a command, runs one node."""


@stepflow.command()
def run() -> None:
    """Run one node with the configuration file that $GW_CONFIG names."""
    from stepflow.node import run_node

    sys.exit(run_node())


stepflow.add_command(check)
stepflow.add_command(fleet)


def main(arguments: Sequence[str]) -> int:
    """Run a command and return its exit code; invalid input prints one line and returns 2."""
    try:
        result = stepflow.main(list(arguments), prog_name="stepflow", standalone_mode=False)
    except InputError as error:
        click.echo(f"stepflow: {error}", err=True)
        return EXIT_BAD_INPUT
    except ModuleNotFoundError as error:
        if (error.name or "").split(".")[0] not in EXTRA_PACKAGES:
            raise
        click.echo(f"stepflow: {error.name} is missing: pip install 'stepflow[fleet]'", err=True)
        return EXIT_FAILED
    except click.exceptions.Abort:
        return EXIT_INTERRUPTED
    except click.ClickException as error:
        error.show()
        return error.exit_code
    return result if isinstance(result, int) else 0  # the code of `click.exceptions.Exit`
