import msgspec
import pytest

from lagooncrank import model


def announcement(incarnation: int, sequence: int) -> model.Announcement:
    return model.Announcement(
        backend_server_id=model.BackendServerId("b1"),
        address="127.0.0.1:9000",
        instance_id=model.InstanceId("i1"),
        failure_domain_id=model.FailureDomainId("fd1"),
        fabric_domain_id=model.FabricDomainId("fab1"),
        kind=model.BackendServerKind.MODEL_ENGINE,
        incarnation=incarnation,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ("newer", "older"),
    [
        pytest.param((1, 2), (1, 1), id="later_sequence"),
        pytest.param((2, 0), (1, 9), id="restart_beats_sequence"),
    ],
)
def test_newer_announcement(
    newer: tuple[int, int], older: tuple[int, int]
) -> None:
    assert announcement(*newer).is_newer_than(announcement(*older))
    assert not announcement(*older).is_newer_than(announcement(*newer))


def test_cbor_round_trip_keeps_every_field() -> None:
    before = announcement(3, 4).with_changes(accelerators=8)
    after = model.from_cbor(model.to_cbor(before), model.Announcement)
    assert after == before


def test_cbor_of_another_type_is_rejected() -> None:
    data = model.to_cbor(model.LoadReport())
    with pytest.raises(msgspec.ValidationError, match="backend_server_id"):
        model.from_cbor(data, model.Announcement)
