"""Entry point of a case: the record, the disruption and the exit status."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import os
import pathlib
from typing import Any

from review.common2 import nodes
from review.common2 import record as records

#: Exit status of a case that could not run.
NOT_RUN = 2
#: "0" leaves the disruption out.
TROUBLE_VARIABLE = "TROUBLE"


def main(
    folder: pathlib.Path, run: Callable[..., Coroutine[Any, Any, int]]
) -> int:
    """Runs a case.

    Args:
        folder: Folder of the case, which gets the record.
        run: Runs it, given the record and `has_trouble`; returns 1 if the rule
            was broken, 0 if it held, and 2 if that cannot be said.

    Returns:
        The exit status.
    """
    record = records.Record(folder)
    has_trouble = os.environ.get(TROUBLE_VARIABLE, "1") != "0"
    try:
        return asyncio.run(run(record, has_trouble=has_trouble))
    except (*nodes.ERRORS, AssertionError, KeyboardInterrupt) as error:
        record.write(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        record.close()
