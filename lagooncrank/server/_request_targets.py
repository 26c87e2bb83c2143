"""Request targets that reach a server as they were received."""

import yarl


def url(address: str, target: str) -> yarl.URL:
    """Returns the URL of a request target at a server.

    Path and query are one opaque text here: a URL that is parsed loses an empty
    query and a fragment.

    Args:
        address: Address of the server, "ip:port".
        target: Path and query, encoded as received.

    Raises:
        ValueError: The target does not start with a slash.

    >>> url("10.0.0.1:80", "/a?").raw_path_qs
    '/a?'
    """
    return yarl.URL.build(
        scheme="http", authority=address, path=target, encoded=True
    )
