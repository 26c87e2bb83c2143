"""Semantic checks of process settings, beyond the types of their fields."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from lagooncrank import registry
from lagooncrank.settings import _formats
from lagooncrank.settings import _problems
from lagooncrank.settings import _process

#: Allowed numbers of voters. An even number tolerates no more failures than the
#: odd number below it.
VOTER_COUNTS = (1, 3, 5, 7)
LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")


def check_process_settings(
    process_settings: _process.ProcessSettings,
) -> tuple[_problems.Problem, ...]:
    """Returns every problem that the type checks do not detect."""
    return tuple(_find_problems(process_settings))


def _find_problems(
    process_settings: _process.ProcessSettings,
) -> Iterator[_problems.Problem]:
    yield from _check_nodes(process_settings)
    yield from _check_voters(process_settings)
    yield from _check_own_node(process_settings)
    for index, digest in enumerate(process_settings.operator_key_sha256s):
        if not _formats.is_key_digest(digest):
            yield _problems.Problem(
                f"operator_key_sha256s[{index}]",
                f"must be {_formats.KEY_DIGEST_RULE}",
            )
    yield from _check_limits(process_settings)
    yield from _check_policies(process_settings.policies)


def _check_policies(
    policies: _process.PolicySettings,
) -> Iterator[_problems.Problem]:
    # Importing the policies takes 100 ms, which would delay every restart of
    # daemons that do not use these settings.
    from lagooncrank.core import admission
    from lagooncrank.core import placement
    from lagooncrank.core import retry
    from lagooncrank.core import routing

    registries: dict[str, registry.Registry[Any]] = {
        "admission": admission.ADMISSION_POLICIES,
        "router": routing.ROUTERS,
        "retry": retry.RETRY_POLICIES,
        "suspicion": retry.SUSPICION_POLICIES,
        "placement": placement.POLICIES,
    }
    for name, registered in registries.items():
        value = getattr(policies, name)
        if value not in registered.names():
            yield _problems.Problem(
                f"policies.{name}",
                f"is {value!r}; allowed: {', '.join(registered.names())}",
            )


def _check_nodes(
    process_settings: _process.ProcessSettings,
) -> Iterator[_problems.Problem]:
    seen: dict[str, str] = {}
    for index, node in enumerate(process_settings.nodes):
        field = f"nodes[{index}]"
        addresses = {
            "peer_address": node.peer_address,
            "entry_address": node.entry_address,
        }
        for name, address in addresses.items():
            if not _formats.is_address(address):
                yield _problems.Problem(
                    f"{field}.{name}",
                    f"is {address!r}, must be an IP address and a port such "
                    "as '10.0.0.1:7000'; host names are not resolved",
                )
        unique_values = {"node_id": node.node_id, **addresses}
        for name, value in unique_values.items():
            if value in seen:
                yield _problems.Problem(
                    f"{field}.{name}",
                    f"{value!r} is already used in {seen[value]}",
                )
            seen.setdefault(value, f"{field}.{name}")


def _check_voters(
    process_settings: _process.ProcessSettings,
) -> Iterator[_problems.Problem]:
    count = len(process_settings.initial_voters)
    if count not in VOTER_COUNTS:
        allowed = ", ".join(str(n) for n in VOTER_COUNTS)
        yield _problems.Problem(
            "nodes",
            f"{count} nodes have the role control; allowed: {allowed}",
        )


def _check_own_node(
    process_settings: _process.ProcessSettings,
) -> Iterator[_problems.Problem]:
    ids = [node.node_id for node in process_settings.nodes]
    if process_settings.node_id not in ids:
        yield _problems.Problem(
            "node_id",
            f"{process_settings.node_id!r} is not one of nodes: "
            f"{', '.join(ids)}",
        )
    elif (
        process_settings.own_node.is_initial_voter
        and not process_settings.data_folder
    ):
        yield _problems.Problem(
            "data_folder",
            "is empty, but this node has the role control, which stores its "
            "log there; specify a folder on a disk",
        )
    if not process_settings.shared_key_file:
        yield _problems.Problem(
            "shared_key_file", "is empty; specify the file with the shared key"
        )


def _check_limits(
    process_settings: _process.ProcessSettings,
) -> Iterator[_problems.Problem]:
    for field in dataclasses.fields(process_settings.limits):
        value = getattr(process_settings.limits, field.name)
        if value <= 0:
            yield _problems.Problem(
                f"limits.{field.name}", f"is {value}, must be above 0"
            )
    if process_settings.stop_deadline_ms < 0:
        yield _problems.Problem(
            "stop_deadline_ms",
            f"is {process_settings.stop_deadline_ms}, must be 0 or more",
        )
    if process_settings.log_level not in LOG_LEVELS:
        yield _problems.Problem(
            "log_level",
            f"is {process_settings.log_level!r}; allowed: "
            f"{', '.join(LOG_LEVELS)}",
        )
