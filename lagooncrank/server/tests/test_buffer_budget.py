"""Shares of the memory for bodies."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank.server import _buffer_budget


def test_single_response_leaves_half_of_the_limit() -> None:
    buffers = _buffer_budget.BufferBudget(max_bytes=100)
    buffer = buffers.open()
    buffer.resize(50)
    with pytest.raises(_buffer_budget.BufferSpentError):
        buffer.resize(51)
    assert buffers.used_bytes == 50


def test_closed_buffer_returns_its_share() -> None:
    buffers = _buffer_budget.BufferBudget(max_bytes=100)
    with buffers.open() as buffer:
        buffer.resize(40)
        assert buffers.used_bytes == 40
    assert buffers.used_bytes == 0


# Guards against responses without end that leave nothing for others.
@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    count=strategies.integers(min_value=1, max_value=30),
    step_bytes=strategies.integers(min_value=1, max_value=10),
)
def test_further_response_gets_a_share(count: int, step_bytes: int) -> None:
    buffers = _buffer_budget.BufferBudget(max_bytes=1_000)
    endless = [buffers.open() for _ in range(count)]
    for size_bytes in range(step_bytes, 1_000, step_bytes):
        for buffer in endless:
            with contextlib.suppress(_buffer_budget.BufferSpentError):
                buffer.resize(size_bytes)
    assert buffers.used_bytes < 1_000
    with buffers.open() as further:
        further.resize((1_000 - buffers.used_bytes) // 2)


def test_buffer_at_its_limit_may_still_shrink() -> None:
    buffers = _buffer_budget.BufferBudget(max_bytes=100)
    first, second = buffers.open(), buffers.open()
    first.resize(50)
    second.resize(25)
    first.resize(49)
    assert buffers.used_bytes == 74


@pytest.mark.parametrize(
    ("memory_limit_mb", "max_bytes"), [(200, 50_000_000), (296, 74_000_000)]
)
def test_limit_follows_from_the_memory(
    memory_limit_mb: int, max_bytes: int
) -> None:
    buffers = _buffer_budget.BufferBudget.of_memory(memory_limit_mb)
    buffers.open().resize(max_bytes // 2)
    with pytest.raises(_buffer_budget.BufferSpentError):
        buffers.open().resize(max_bytes // 2 + 1)
