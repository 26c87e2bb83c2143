"""What an entry makes of the outcomes that older builds send it."""

import types
from typing import Any
from typing import cast

import multidict
import pytest

from lagooncrank import model
from lagooncrank.core import responders
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _delegated_request
from lagooncrank.server.seeded import _delegator

LEAVING: responders.Process = (model.BackendServerId("s1"), 1)


# Guards against: an entry of an older build passed on a 503 of a server that
# did not state that nothing was run, and the runs before it were not counted.
def test_runs_before_an_unclear_refusal_at_another_entry_count() -> None:
    delegator: Any = object.__new__(_delegator.Delegator)
    delegator._metrics = types.SimpleNamespace(count_delegated=lambda _: None)
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    outcome = _delegated_request.Outcome(3, leaving_server=LEAVING)
    outcome.add_to(headers)
    response = types.SimpleNamespace(
        response=types.SimpleNamespace(headers=headers),
        head=_adapter.ResponseHead(503, "r", True, False, False, ()),
    )
    exchange = types.SimpleNamespace(delegated_runs=0, leaving_server=None)
    with pytest.raises(_attempt.AttemptFailedError) as raised:
        delegator._check_outcome(cast(Any, exchange), cast(Any, response))
    assert raised.value.failure is _attempt.FailureKind.SERVER_ERROR
    assert exchange.delegated_runs == 3
    assert exchange.leaving_server == LEAVING
