"""The application with all commands, and its entry point."""

import sys

import typer

from lagooncrank import results
from lagooncrank.cli import _configuration_commands
from lagooncrank.cli import _exit_codes
from lagooncrank.cli import _explain_command
from lagooncrank.cli import _inspection_commands
from lagooncrank.cli import _maintenance_commands
from lagooncrank.cli import _output
from lagooncrank.cli import _questionnaire_command
from lagooncrank.cli import _report_command

#: Program name in help texts and shell completion.
PROGRAM_NAME = "lagooncrank"

app = typer.Typer(
    name=PROGRAM_NAME,
    help="Operates a lagooncrank system from declarations in YAML.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
_configuration_commands.register(app)
_inspection_commands.register(app)
_maintenance_commands.register(app)
_explain_command.register(app)
_report_command.register(app)
_questionnaire_command.register(app)


def main() -> None:
    """Runs one command and exits with an `ExitCode`."""
    try:
        app(prog_name=PROGRAM_NAME)
    except results.LagooncrankError as error:
        _output.print_message(f"lagooncrank: {error}")
        sys.exit(_exit_codes.exit_code_for(error.refusal.code))
