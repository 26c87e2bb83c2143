"""Header of delegated requests, and of their responses."""

import base64
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.server.seeded import _delegated_request

RECEIVER = "10.0.0.2:81"
CODEC = _delegated_request.DelegationCodec(b"key")
REQUEST = _delegated_request.DelegatedRequest(
    model.NodeId("10.0.0.1"),
    RECEIVER,
    model.ClientAccountId("acme"),
    model.ServiceName("desk"),
    7,
    12,
    800,
    1,
    "digest",
)


@hypothesis.given(
    strategies.text(), strategies.text(), strategies.integers(0, 10**9)
)
def test_request_is_decoded_as_it_was_encoded(
    account: str, service: str, number: int
) -> None:
    request = dataclasses.replace(
        REQUEST,
        account=model.ClientAccountId(account),
        service=model.ServiceName(service),
        elapsed_ms=number,
    )
    assert CODEC.decode(CODEC.encode(request), RECEIVER) == request


@hypothesis.given(strategies.integers(0), strategies.integers(1, 255))
def test_any_changed_byte_is_noticed(position: int, change: int) -> None:
    data = bytearray(base64.b64decode(CODEC.encode(REQUEST)))
    data[position % len(data)] ^= change
    text = base64.b64encode(data).decode()
    with pytest.raises(_delegated_request.DelegationError):
        CODEC.decode(text, RECEIVER)


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(None, id="missing"),
        pytest.param("", id="empty"),
        pytest.param("?", id="not-base64"),
        pytest.param("AAAA", id="short"),
        pytest.param("é", id="not-ascii"),
    ],
)
def test_unreadable_header_is_not_authentic(text: str | None) -> None:
    with pytest.raises(_delegated_request.DelegationError):
        CODEC.decode(text, RECEIVER)


@pytest.mark.parametrize(
    "outcome",
    [
        _delegated_request.Outcome(1),
        _delegated_request.Outcome(
            2, leaving_server=(model.BackendServerId("s1"), 5)
        ),
        _delegated_request.Outcome.of_refusal(
            results.Refusal(
                results.ResultCode.BACKEND_RESTING, "r", retry_after_ms=900
            ),
            0,
        ),
    ],
)
def test_outcome_is_decoded_as_it_was_encoded(
    outcome: _delegated_request.Outcome,
) -> None:
    assert _delegated_request.Outcome.decode(outcome.encode()) == outcome


@pytest.mark.parametrize("text", ["", "{}", "[1]", '{"possible_runs": "x"}'])
def test_unreadable_outcome_is_an_error(text: str) -> None:
    with pytest.raises(_delegated_request.DelegationError):
        _delegated_request.Outcome.decode(text)
