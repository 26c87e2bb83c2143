"""Unusual input of a caller is the caller's error, not an internal one."""

import types
from typing import Any
from typing import cast

import pytest

from lagooncrank import results
from lagooncrank.server.http import _auth
from lagooncrank.server.http import _completions


def request(name: str, value: str) -> Any:
    return types.SimpleNamespace(headers={name: value})


@pytest.mark.parametrize("key", ["\udcff\udcfe", "unknown", ""])
def test_any_unknown_key_is_refused(key: str) -> None:
    shared = types.SimpleNamespace(
        view=types.SimpleNamespace(configuration=None)
    )
    authenticator = _auth.Authenticator(cast(Any, shared))
    with pytest.raises(results.LagooncrankError) as caught:
        authenticator.authenticate_account(
            request("Authorization", f"Bearer {key}")
        )
    code = caught.value.refusal.code
    assert code is results.ResultCode.UNAUTHENTICATED


@pytest.mark.parametrize("text", ["9" * 5_000, "0", "-1", "1.5", "x"])
def test_other_timeout_than_a_positive_number_is_malformed(text: str) -> None:
    with pytest.raises(results.LagooncrankError) as caught:
        _completions.requested_timeout_ms(
            request(_completions.DEADLINE_HEADER, text)
        )
    code = caught.value.refusal.code
    assert code is results.ResultCode.MALFORMED_REQUEST


def test_long_timeout_is_limited() -> None:
    assert (
        _completions.requested_timeout_ms(
            request(_completions.DEADLINE_HEADER, "9" * 12)
        )
        == _completions.MAX_TIMEOUT_MS
    )
