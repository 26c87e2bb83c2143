"""Notices of further runs in the stream of a delegated request.

The head of the stream states the runs until then. Before the entry that serves
the request resumes the stream at another backend server, it tells the entry
that delegated it, which may have to resume the stream itself; the newest notice
counts. A notice is a comment of the event stream. It begins with a token that
only the two entries know, so that no comment of a backend server is taken for
one.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from lagooncrank.server.seeded import _events
from lagooncrank.server.seeded import _exchange


def notice(exchange: _exchange.Exchange, *, further_runs: int) -> bytes:
    """Returns a notice about a request, for the entry that delegated it.

    Args:
        exchange: The request.
        further_runs: Runs that begin now.

    Returns:
        Nothing if no other entry reads notices.
    """
    if exchange.delegated_by is None or not exchange.notice_token:
        return b""
    return encode(exchange.notice_token, exchange.possible_runs + further_runs)


def encode(token: str, possible_runs: int) -> bytes:
    r"""Returns a notice with the number of runs that may have begun.

    >>> encode("t0", 2)
    b': t0 2\n\n'
    """
    return f": {token} {possible_runs}\n\n".encode()


def take(
    exchange: _exchange.Exchange,
    token: str,
    events: Iterable[_events.StreamEvent],
) -> Iterator[_events.StreamEvent]:
    """Yields the events of a delegated stream without the notices.

    Args:
        exchange: The request; its runs are updated.
        token: Token that the other entry was given for this run.
        events: Events that the other entry has sent.
    """
    prefix = f": {token} ".encode()
    for event in events:
        runs = event.raw.removeprefix(prefix).strip()
        if event.raw.startswith(prefix) and runs.isdigit():
            exchange.delegated_runs = int(runs)
        else:
            yield event
