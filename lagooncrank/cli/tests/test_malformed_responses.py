"""What commands make of bytes that are no response of an entry."""

import pytest

from lagooncrank import results
from lagooncrank.cli import _client
from lagooncrank.server.tests import malformed_heads
from lagooncrank.server.tests import raw_server

pytestmark = pytest.mark.usefixtures("each_parser")
ANSWERS = malformed_heads.ANSWERS
Code = results.ResultCode


# Guards against: an operator's command took them for an entry's answer.
@pytest.mark.parametrize("name", ANSWERS)
async def test_command_of_an_operator(name: str) -> None:
    async with raw_server.RawServer(
        [ANSWERS[name]], resets=False
    ).running() as address:
        client = _client.OperatorClient([address], "key")
        with pytest.raises(results.LagooncrankError) as read:
            await client.get("/v1/status")
        with pytest.raises(results.LagooncrankError) as changed:
            await client.post("/v1/declarations", {})
    assert read.value.refusal.code is Code.CONNECT_FAILED
    assert changed.value.refusal.code is Code.PROPOSAL_LOST
    assert changed.value.refusal.ran is results.ExecutionStatus.UNKNOWN
    for error in (read, changed):
        reason = error.value.refusal.reason
        assert "malformed response" in reason
        assert malformed_heads.MARK.decode() not in reason
