"""Names of the features of requests.

A feature is an id of a part of the prompt, or the digest of a whole request.
"""

from typing import Final

#: Ids of prompt parts consist of hexadecimal digits, so no part has it.
_WHOLE_REQUEST_PREFIX: Final = "request-"


def whole_request_feature(digest: str) -> str:
    """Returns the feature that only copies of one request have in common."""
    return f"{_WHOLE_REQUEST_PREFIX}{digest}"


def is_whole_request(feature: str) -> bool:
    """Returns whether only copies of one request have a feature.

    >>> is_whole_request(whole_request_feature("5c1e07a2"))
    True
    >>> is_whole_request("5c1e07a2")
    False
    """
    return feature.startswith(_WHOLE_REQUEST_PREFIX)
