"""Generates a configuration from the answers to the questionnaire."""

import dataclasses

from returns import result

from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _commented_yaml
from lagooncrank.questionnaire import _feasibility
from lagooncrank.questionnaire import _form
from lagooncrank.questionnaire import _problems
from lagooncrank.questionnaire import _process_settings
from lagooncrank.questionnaire import _replica_placement
from lagooncrank.questionnaire import _rules
from lagooncrank.questionnaire import _services
from lagooncrank.questionnaire import _shares
from lagooncrank.questionnaire import _voters

ANSWERS_FILE = "answers.yaml"
DECLARATIONS_FILE = "declarations.yaml"


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratedFile:
    """One file of a generated configuration."""

    name: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All files that the nodes of a system need to start."""

    declarations: GeneratedFile
    #: Process settings, one file for each entry instance.
    settings: tuple[GeneratedFile, ...]

    @property
    def files(self) -> tuple[GeneratedFile, ...]:
        """All files, the declarations first."""
        return (self.declarations, *self.settings)


def answers_file(answers: _answers.Answers) -> GeneratedFile:
    """Returns the file from which the same configuration can be generated."""
    return GeneratedFile(ANSWERS_FILE, _form.filled_form(answers))


def generate(
    answers: _answers.Answers,
) -> result.Result[Configuration, tuple[_problems.AnswerProblem, ...]]:
    """Returns a configuration, or the problems of the answers.

    Equal answers always generate the same bytes.
    """
    problems = _feasibility.find_problems(answers)
    voters = _voters.choose_voters(answers)
    if problems or voters is None:
        return result.Failure(problems)
    return result.Success(
        Configuration(
            GeneratedFile(DECLARATIONS_FILE, _declarations_text(answers)),
            tuple(
                _settings_file(answers, instance, voters)
                for instance in answers.entry_instances
            ),
        )
    )


def _declarations_text(answers: _answers.Answers) -> str:
    shares = _shares.allocate_shares(answers)
    placements = _replica_placement.place_replicas(answers)
    section = _commented_yaml.Section(
        {
            "model_services": _commented_yaml.SectionList(
                tuple(
                    _services.model_section(answers, model, placement)
                    for model, placement in zip(
                        answers.models, placements, strict=True
                    )
                )
            ),
            "plain_services": _commented_yaml.SectionList(
                tuple(map(_services.service_section, answers.services))
            ),
            "client_accounts": _commented_yaml.SectionList(
                tuple(
                    _services.account_section(account, shares[account.name])
                    for account in answers.accounts
                )
            ),
            "placement": _rules.placement_section(answers),
            "weight_store": _rules.weight_store_section(answers),
            "leases": _rules.lease_section(answers),
            "retries": _rules.retry_section(),
        }
    )
    heading = (
        f"Declarations of {answers.deployment}, made by 'lagooncrank "
        "questionnaire'. Change the answers and make them anew, or edit the "
        "values here."
    )
    return _commented_yaml.to_yaml(heading, section)


def _settings_file(
    answers: _answers.Answers,
    instance: _answers.EntryInstanceAnswers,
    voters: _voters.VoterChoice,
) -> GeneratedFile:
    section = _process_settings.settings_section(answers, instance, voters)
    heading = (
        f"Process settings of {instance.name} in {answers.deployment}, made "
        "by 'lagooncrank questionnaire'."
    )
    text = _commented_yaml.to_yaml(heading, section)
    return GeneratedFile(f"settings-{instance.name}.yaml", text)
