"""Generates a configuration from the answers to a questionnaire."""

from lagooncrank.questionnaire._answers import AccountAnswers
from lagooncrank.questionnaire._answers import AccountSize
from lagooncrank.questionnaire._answers import Answers
from lagooncrank.questionnaire._answers import EntryInstanceAnswers
from lagooncrank.questionnaire._answers import FabricDomainAnswers
from lagooncrank.questionnaire._answers import ModelAnswers
from lagooncrank.questionnaire._answers import ServiceAnswers
from lagooncrank.questionnaire._answers import Survival
from lagooncrank.questionnaire._answers import ToleranceAnswers
from lagooncrank.questionnaire._answers import TrafficAnswers
from lagooncrank.questionnaire._answers import WeightStoreAnswers
from lagooncrank.questionnaire._form import blank_form
from lagooncrank.questionnaire._generate import answers_file
from lagooncrank.questionnaire._generate import Configuration
from lagooncrank.questionnaire._generate import generate
from lagooncrank.questionnaire._generate import GeneratedFile
from lagooncrank.questionnaire._interview import Interview
from lagooncrank.questionnaire._problems import AnswerProblem
from lagooncrank.questionnaire._problems import InvalidAnswersError

__all__ = [
    "AccountAnswers",
    "AccountSize",
    "AnswerProblem",
    "Answers",
    "Configuration",
    "EntryInstanceAnswers",
    "FabricDomainAnswers",
    "GeneratedFile",
    "Interview",
    "InvalidAnswersError",
    "ModelAnswers",
    "ServiceAnswers",
    "Survival",
    "ToleranceAnswers",
    "TrafficAnswers",
    "WeightStoreAnswers",
    "answers_file",
    "blank_form",
    "generate",
]
