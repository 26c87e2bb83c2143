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
    wall_ms: int, call: state.CallKey, owner: state.CallOwner, kind: str
) -> state.Command:
    if kind == "reserve":
        return state.ReserveCall(call, b"d", owner, wall_ms, RETENTION_MS)
    ended = state.CallState(kind)
    if ended is state.CallState.RESERVED:
        return state.ResolveCall(call, state.CallState.FINISHED, wall_ms)
    return state.FinishCall(call, owner, ended, wall_ms)


@hypothesis.given(steps)
def test_forgetting_agrees_with_a_search_of_every_record(
    taken: list[tuple[int, state.CallKey, state.CallOwner, str]],
) -> None:
    machine = state.StateMachine()
    wall_ms = 0
    for index, (pause_ms, call, owner, kind) in enumerate(taken, start=1):
        wall_ms += pause_ms
        before = {c: machine.call(c) for c in CALLS}
        machine.apply(index, command(wall_ms, call, owner, kind))
        if kind != "reserve":
            continue
        for other in CALLS:
            record = before[other]
            if other == call or record is None:
                continue
            over = 0 < record.forget_wall_ms <= wall_ms
            assert (machine.call(other) is None) == over
        restored = state.StateMachine.from_snapshot(machine.snapshot())
        assert restored.snapshot() == machine.snapshot()
