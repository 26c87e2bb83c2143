"""Answers on instances, models, traffic and tolerance of failures.

Field names are the keys of answers.yaml.
"""

import dataclasses
import enum
from typing import Annotated

from lagooncrank.questionnaire import _question

_Question = _question.Question


class AccountSize(enum.StrEnum):
    """Size of a client account.

    A small account must always meet its first-token target; large accounts
    share the remaining capacity.
    """

    SMALL = "small"
    LARGE = "large"


class Survival(enum.StrEnum):
    """Largest loss that bookings and configuration changes must survive."""

    FAILURE_DOMAIN = "failure_domain"
    INSTANCE = "instance"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryInstanceAnswers:
    """An instance that runs a node of the system."""

    name: Annotated[str, _Question("What is this machine called?", "entry-1")]
    ip: Annotated[str, _Question("What is its IP address?", "10.0.1.1")]
    failure_domain: Annotated[
        str, _Question("Which site does it fail with?", "site-a")
    ]
    data_folder: Annotated[
        str,
        _Question(
            "Which folder on its own disk may we use, if it has a disk?",
            "/var/lib/lagooncrank",
        ),
    ] = ""
    entry_port: Annotated[
        int, _Question("On which port do your applications reach it?", 8100)
    ] = 8100
    peer_port: Annotated[
        int,
        _Question("On which port do these machines reach each other?", 8101),
    ] = 8101


@dataclasses.dataclass(frozen=True, slots=True)
class FabricDomainAnswers:
    """A group of instances with accelerators, joined by a fast network."""

    name: Annotated[
        str, _Question("What is this group of machines called?", "rack-a")
    ]
    failure_domain: Annotated[
        str, _Question("Which site does it stand in?", "site-a")
    ]
    instances: Annotated[int, _Question("How many machines has it?", 17)]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelAnswers:
    """A model that generates completions."""

    name: Annotated[str, _Question("What do callers call the model?", "drafts")]
    version: Annotated[str, _Question("Which version is served?", "2026-05")]
    replicas: Annotated[
        int, _Question("How many copies of the model do you want?", 4)
    ]
    replicas_floor: Annotated[
        int, _Question("How many copies must stay up during planned work?", 3)
    ]
    instances_per_replica: Annotated[
        int, _Question("How many machines does one copy span?", 4)
    ]
    tokens_per_s_per_replica: Annotated[
        int,
        _Question("How many tokens a second does one busy copy write?", 2000),
    ]
    concurrency_per_replica: Annotated[
        int, _Question("How many drafts does one copy write at once?", 32)
    ]
    fastest_first_token_s: Annotated[
        float,
        _Question(
            "How many seconds does an idle copy take to its first word?", 0.3
        ),
    ]
    weight_gib_per_instance: Annotated[
        float,
        _Question("How many GiB of weights does one machine load?", 140.0),
    ]
    accelerators_per_instance: Annotated[
        int, _Question("How many accelerators has one machine?", 8)
    ] = 8
    longest_answer_tokens: Annotated[
        int, _Question("How many tokens may the longest draft have?", 4096)
    ] = 4096
    between_tokens_ms: Annotated[
        int, _Question("How many milliseconds may pass between two words?", 51)
    ] = 51


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswers:
    """A plain service, for bookings, lookups and the like."""

    name: Annotated[str, _Question("What is the service called?", "booking")]
    may_repeat: Annotated[
        bool, _Question("Does doing one of its calls twice do no harm?", False)
    ]
    longest_answer_s: Annotated[
        float, _Question("How many seconds may it take to answer?", 10.0)
    ] = 10.0
    outcome_path: Annotated[
        str,
        _Question(
            "Where can one look up whether a call ran? Write {key} for its "
            "key; leave empty if nowhere.",
            "/outcomes/{key}",
        ),
    ] = ""
    remembered_h: Annotated[
        float,
        _Question(
            "For how many hours may a customer ask the same again?", 24.0
        ),
    ] = 24.0


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficAnswers:
    """Peak traffic of one client account to one model."""

    model: Annotated[str, _Question("Which model does it use?", "drafts")]
    requests_per_s: Annotated[
        float,
        _Question(
            "How many drafts a second does it ask for at its busiest?", 2.0
        ),
    ]
    answer_tokens: Annotated[
        int, _Question("How many tokens has a usual draft?", 400)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountAnswers:
    """A client account: an organisation or team that sends requests."""

    name: Annotated[str, _Question("What is the customer called?", "surveyors")]
    size: Annotated[
        AccountSize,
        _Question("Is it small (never to feel the others) or large?", "small"),
    ]
    key_sha256s: Annotated[
        tuple[str, ...],
        _Question(
            "What are the SHA-256 digests of its keys (never the keys)?",
            ["0" * 64],
        ),
    ]
    first_token_wait_s: Annotated[
        float,
        _Question("How many seconds may it wait for the first word?", 1.3),
    ] = 1.3
    traffic: Annotated[
        tuple[TrafficAnswers, ...],
        _Question("Which models does it use, and how much?", []),
    ] = ()
    services: Annotated[
        tuple[str, ...], _Question("Which services may it call?", ["booking"])
    ] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ToleranceAnswers:
    """How the operators weigh failures, delays and idle accelerators."""

    idle_accelerator_minutes: Annotated[
        float,
        _Question(
            "How many minutes of one idle accelerator are as bad as one copy "
            "being down for one minute? A number above the accelerators of one "
            "copy puts downtime first, one below it puts idle machines first.",
            320.0,
        ),
    ]
    further_losses: Annotated[
        int,
        _Question(
            "How many machines of one group may be lost right after a repair "
            "without a copy staying down? We keep that many free.",
            1,
        ),
    ]
    survive: Annotated[
        Survival,
        _Question(
            "What may be lost at once while bookings and changes go on: a "
            "whole failure_domain, one instance, or nothing?",
            "failure_domain",
        ),
    ] = Survival.FAILURE_DOMAIN
    usual_pause_s: Annotated[
        float,
        _Question(
            "How many seconds does a machine that pauses usually stay away?",
            5.0,
        ),
    ] = 5.0
    trusted_after_s: Annotated[
        float,
        _Question(
            "How many seconds must a machine that failed stay up before it is "
            "used again?",
            60.0,
        ),
    ] = 60.0
    cut_off_s: Annotated[
        float,
        _Question(
            "How many seconds may a machine cut off from the others go on "
            "taking new requests by what it last knew?",
            10.0,
        ),
    ] = 10.0
    addresses_kept_s: Annotated[
        float,
        _Question(
            "How many seconds do your applications keep an address?", 5.0
        ),
    ] = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreAnswers:
    """The store from which instances load the models' weights."""

    gib_per_s: Annotated[
        float,
        _Question(
            "How many GiB a second does the weight store give in all?", 10.0
        ),
    ]
    loads_at_once: Annotated[
        int, _Question("How many machines may load from it at once?", 8)
    ]
    address: Annotated[
        str,
        _Question(
            "What is its address? Leave empty if only the engines need it.", ""
        ),
    ] = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """A completed questionnaire."""

    deployment: Annotated[
        str, _Question("What is this system called?", "example")
    ]
    entry_instances: Annotated[
        tuple[EntryInstanceAnswers, ...],
        _Question("Which machines run the system itself?", []),
    ]
    fabric_domains: Annotated[
        tuple[FabricDomainAnswers, ...],
        _Question("Which groups of machines run models?", []),
    ]
    models: Annotated[
        tuple[ModelAnswers, ...], _Question("Which models do you serve?", [])
    ]
    services: Annotated[
        tuple[ServiceAnswers, ...],
        _Question("Which other services do you offer?", []),
    ]
    accounts: Annotated[
        tuple[AccountAnswers, ...], _Question("Who are your customers?", [])
    ]
    tolerance: Annotated[
        ToleranceAnswers, _Question("What would you rather bear?", None)
    ]
    weight_store: Annotated[
        WeightStoreAnswers,
        _Question("Where do the models' weights come from?", None),
    ]
    operator_key_sha256s: Annotated[
        tuple[str, ...],
        _Question(
            "What are the SHA-256 digests of the operators' keys?", ["1" * 64]
        ),
    ]
    shared_key_file: Annotated[
        str,
        _Question(
            "Which file on each machine holds the key that they share?",
            "/etc/lagooncrank/shared.key",
        ),
    ] = "/etc/lagooncrank/shared.key"
