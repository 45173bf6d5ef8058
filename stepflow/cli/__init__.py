"""The command line: each command's words and printing; what it does stands in the packages below."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from stepflow import __version__
from stepflow.cli.check import check
from stepflow.cli.fleet import fleet
from stepflow.errors import InputError

EXIT_BAD_INPUT, EXIT_FAILED = 2, 1
EXTRA = ("numpy", "pyarrow", "scipy")  # what the extra `fleet` brings


@click.group(
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
    epilog="Exit codes: 0 done, 1 failed, 2 bad input, 130 stopped by Ctrl-C.",
)
@click.version_option(__version__, prog_name="stepflow", message="%(prog)s %(version)s")
def stepflow() -> None:
    """A TCP balancer for long-lived map sessions. Without a word, runs one node."""


@stepflow.command()
def run() -> None:
    """Run one node, as its configuration in $GW_CONFIG says."""
    from stepflow.node import run_node

    sys.exit(run_node())


stepflow.add_command(check)
stepflow.add_command(fleet)


def main(words: Sequence[str]) -> int:
    """Carry out a command; bad input gets one line and exit code 2."""
    try:
        ended = stepflow.main(list(words), prog_name="stepflow", standalone_mode=False)
    except InputError as fault:
        click.echo(f"stepflow: {fault}", err=True)
        return EXIT_BAD_INPUT
    except ModuleNotFoundError as fault:
        if (fault.name or "").split(".")[0] not in EXTRA:
            raise
        click.echo(f"stepflow: {fault.name} is missing: pip install 'stepflow[fleet]'", err=True)
        return EXIT_FAILED
    except click.exceptions.Abort:
        return 130
    except click.ClickException as fault:
        fault.show()
        return fault.exit_code
    return ended if isinstance(ended, int) else 0  # the code of an Exit
