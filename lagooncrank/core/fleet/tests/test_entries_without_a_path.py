"""Entries that have no path to services, in the fleet summary."""

import dataclasses

import cbor2
import pytest

from lagooncrank import model
from lagooncrank.core import fleet

SERVICE = model.ServiceName("writers")
DOMAIN = model.FailureDomainId("a")
#: Bytes of an entry in the summary: its address and failure domain by name.
MAX_BYTES_PER_ENTRY = 60


def notice(number: int, **fields: object) -> fleet.NodeNotice:
    plain = fleet.NodeNotice(
        model.NodeId(f"10.0.0.{number}"),
        model.NodeRole.ENTRY,
        DOMAIN,
        f"10.0.0.{number}:80",
        True,
        1,
        1,
    )
    return dataclasses.replace(plain, **fields)  # type: ignore[arg-type]


def table(*notices: fleet.NodeNotice) -> fleet.NodeTable:
    nodes = fleet.NodeTable(2_000)
    for node_notice in notices:
        nodes.put(node_notice, 0)
    return nodes


def test_summary_names_the_unreached_services_and_cut_off_entries() -> None:
    nodes = table(
        notice(1),
        notice(2, unreached=(SERVICE,)),
        notice(3, unreached=(SERVICE,), is_cut_off=True),
    )
    summary = nodes.summary(0, ())
    assert summary.unreached == {
        "10.0.0.2:80": (SERVICE,),
        "10.0.0.3:80": (SERVICE,),
    }
    assert summary.cut_off == ("10.0.0.3:80",)
    assert len(summary.open_entries) == 3


@pytest.mark.parametrize(
    ("cut_off", "expected"),
    [
        pytest.param((), (1, 2), id="none"),
        pytest.param(("10.0.0.1:80",), (2,), id="one"),
        pytest.param(("10.0.0.1:80", "10.0.0.2:80"), (1, 2), id="all"),
    ],
)
def test_callers_are_directed_to_entries_with_a_path(
    cut_off: tuple[str, ...], expected: tuple[int, ...]
) -> None:
    entries = table(notice(1), notice(2)).open_entries(0)
    found = fleet.without_cut_off(entries, cut_off)
    assert [e.address for e in found] == [f"10.0.0.{n}:80" for n in expected]


# Guards against: each summary, which goes to every entry, carried the state of
# every other one.
def test_summary_without_cuts_is_small() -> None:
    nodes = table(*(notice(n) for n in range(83)))
    summary = model.to_builtins(nodes.summary(0, ()))
    assert len(cbor2.dumps(summary)) <= 83 * MAX_BYTES_PER_ENTRY


def test_messages_of_an_older_version_are_understood() -> None:
    plain_notice = model.to_builtins(notice(1))
    plain_summary = model.to_builtins(table(notice(1)).summary(0, ()))
    for name in ("unreached", "is_cut_off"):
        del plain_notice[name]
    for name in ("unreached", "cut_off"):
        del plain_summary[name]
    assert model.from_builtins(plain_notice, fleet.NodeNotice) == notice(1)
    summary = model.from_builtins(plain_summary, fleet.FleetSummary)
    assert (summary.unreached, summary.cut_off) == ({}, ())


def test_messages_with_unknown_fields_are_understood() -> None:
    plain = {**model.to_builtins(notice(1)), "later": 1}
    assert model.from_builtins(plain, fleet.NodeNotice) == notice(1)
