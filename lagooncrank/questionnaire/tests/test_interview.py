import dataclasses
import pathlib
from typing import Any

import pytest

from lagooncrank import questionnaire
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.questionnaire import _question

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
CODE = results.ResultCode.INVALID_DECLARATIONS


def input_lines(answers: Any) -> list[str]:
    """Returns the lines to type to enter these answers."""
    lines = []
    for answer_field in _question.answer_fields(type(answers)):
        value = getattr(answers, answer_field.name)
        if answer_field.item_type is not None and answer_field.is_list:
            lines.append(str(len(value)))
            lines += [line for item in value for line in input_lines(item)]
        elif answer_field.item_type is not None:
            lines += input_lines(value)
        elif isinstance(value, tuple):
            lines.append(", ".join(value))
        else:
            lines.append(str(value))
    return lines


@pytest.mark.parametrize("name", ["nilegrid", "siam"])
def test_interview_returns_the_answers_of_the_file(name: str) -> None:
    path = EXAMPLES / f"{name}.yaml"
    answers = settings.load(path, questionnaire.Answers, CODE)
    lines = iter(input_lines(answers))
    interview = questionnaire.Interview(lambda _: next(lines), lambda _: None)
    assert interview.answers() == answers
    assert next(lines, None) is None


def test_invalid_line_is_explained_and_asked_again() -> None:
    path = EXAMPLES / "siam.yaml"
    answers = settings.load(path, questionnaire.Answers, CODE)
    lines = input_lines(answers)
    lines.insert(1, "many")
    lines.insert(lines.index("17"), "some")
    typed_lines = iter(lines)
    shown: list[str] = []
    interview = questionnaire.Interview(
        lambda _: next(typed_lines), shown.append
    )
    assert interview.answers() == answers
    assert "Enter a whole number, 0 or greater." in shown
    assert "'some' must be a whole number, is 'some'" in shown


def test_blank_form_lacks_only_voters() -> None:
    form = questionnaire.blank_form()
    answers = settings.parse(form, questionnaire.Answers, "form", CODE)
    [problem] = questionnaire.generate(answers).failure()
    assert problem.fields == (
        "entry_instances.data_folder",
        "tolerance.survive",
    )
    instances = tuple(
        dataclasses.replace(
            answers.entry_instances[0],
            name=f"entry-{index}",
            ip=f"10.0.{index}.1",
            failure_domain=f"site-{index}",
        )
        for index in range(3)
    )
    with_voters = dataclasses.replace(answers, entry_instances=instances)
    assert questionnaire.generate(with_voters).unwrap().settings
