"""Command that turns answers into a configuration."""

from collections.abc import Sequence
import pathlib
from typing import Annotated

from returns import result
import typer

from lagooncrank import questionnaire
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.cli import _output

#: Source named in errors about answers that were typed in.
_INTERACTIVE_SOURCE = "answers"


def register(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("questionnaire")(run)


def run(
    answers: Annotated[
        pathlib.Path | None,
        typer.Option(help="File with the answers; if absent, asks for them."),
    ] = None,
    blank: Annotated[
        bool, typer.Option("--blank", help="Print a form to fill in, and exit.")
    ] = False,
    out: Annotated[
        pathlib.Path, typer.Option(help="Folder for the generated files.")
    ] = pathlib.Path("."),
) -> None:
    """Generates declarations and process settings from answers."""
    if blank:
        print(questionnaire.blank_form(), end="")
        return
    if answers is None:
        source = _INTERACTIVE_SOURCE
        filled = _interview()
    else:
        source = str(answers)
        filled = settings.load(
            answers,
            questionnaire.Answers,
            results.ResultCode.INVALID_DECLARATIONS,
        )
    generated = questionnaire.generate(filled)
    typed = [questionnaire.answers_file(filled)] if answers is None else []
    if isinstance(generated, result.Success):
        _write([*typed, *generated.unwrap().files], out)
    else:
        _write(typed, out)
        raise questionnaire.InvalidAnswersError(source, generated.failure())


def _interview() -> questionnaire.Answers:
    try:
        return questionnaire.Interview(input, print).answers()
    except EOFError as error:
        refusal = results.Refusal(
            results.ResultCode.INVALID_DECLARATIONS,
            "the input ended before every question was answered; no file was "
            "written",
        )
        raise results.LagooncrankError(refusal) from error


def _write(
    files: Sequence[questionnaire.GeneratedFile], folder: pathlib.Path
) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for file in files:
            path = folder / file.name
            path.write_text(file.text, encoding="utf-8")
            _output.print_message(f"wrote {path}")
    except OSError as error:
        reason = f"cannot write {error.filename}: {error.strerror}"
        code = results.ResultCode.INVALID_SETTINGS
        refusal = results.Refusal(code, reason)
        raise results.LagooncrankError(refusal) from error
