import hypothesis
from hypothesis import strategies as st

from lagooncrank import model
from lagooncrank.core import state

RETENTION_MS = 10
OWNERS = [state.CallOwner(model.NodeId("n"), 1, n) for n in range(2)]
CALLS = [
    state.CallKey(model.ClientAccountId(account), model.ServiceName("s"), "k")
    for account in ("a", "b", "c")
]

steps = st.lists(
    st.tuples(
        st.integers(0, 6),
        st.sampled_from(CALLS),
        st.sampled_from(OWNERS),
        st.sampled_from(["reserve", *state.CallState]),
    ),
    max_size=40,
)


def command(
    wall_ms: int, call: state.CallKey, owner: state.CallOwner, operation: str
) -> state.Command:
    if operation == "reserve":
        return state.ReserveCall(call, b"d", owner, wall_ms, RETENTION_MS)
    call_state = state.CallState(operation)
    if call_state is state.CallState.RESERVED:
        return state.ResolveCall(call, state.CallState.FINISHED, wall_ms)
    return state.FinishCall(call, owner, call_state, wall_ms)


@hypothesis.given(steps)
def test_expiry_matches_scan_of_all_records(
    drawn: list[tuple[int, state.CallKey, state.CallOwner, str]],
) -> None:
    machine = state.StateMachine()
    wall_ms = 0
    for index, (elapsed_ms, call, owner, operation) in enumerate(
        drawn, start=1
    ):
        wall_ms += elapsed_ms
        before = {c: machine.call(c) for c in CALLS}
        machine.apply(index, command(wall_ms, call, owner, operation))
        if operation != "reserve":
            continue
        for other in CALLS:
            record = before[other]
            if other == call or record is None:
                continue
            is_expired = 0 < record.forget_wall_ms <= wall_ms
            assert (machine.call(other) is None) == is_expired
        restored = state.StateMachine.from_snapshot(machine.snapshot())
        assert restored.snapshot() == machine.snapshot()
