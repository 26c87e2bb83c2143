"""The bench of limits plays its scenarios within the bound."""

from bench import server_limits


def test_row_of_a_small_fleet() -> None:
    row = server_limits.measure(entries=3, demand=1.0, servers=2, seeds=1)
    assert row.messages_per_s > 0
    assert row.bytes_per_s > row.messages_per_s
    assert row.limit_used > 0
    assert row.most_of_allowed <= 1.0
