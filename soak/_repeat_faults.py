"""Servers that ask for rest, and requests that crash servers."""

import asyncio
import itertools
import random
from typing import Final

import aiohttp
from lagooncrank_platform.tests import provider_protocol

from soak import _crashes
from soak import _deployment
from soak import _faults
from soak import _history

#: Rest in seconds that refusals ask for.
REST_S: Final = 4
#: Longest time for which a refusal is being worked on: others are under way.
MAX_REFUSAL_DELAY_S: Final = 1.5
#: Such requests come for this many times the duration of a fault.
DURATION_FACTOR: Final = 4
CRASHING_CALLERS: Final = 3
#: Shortest and longest pause of their callers.
PAUSE_S: Final = (0.1, 0.4)
TIMEOUT: Final = aiohttp.ClientTimeout(total=10.0)
PATH: Final = "/draft/c"
_NUMBERS: Final = itertools.count(1)


@_faults.FAULTS.register("rest")
async def ask_for_rest(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Lets a server turn everything away, and ask to be left alone."""
    server = random_.choice(deployment.running_servers())
    server.refusal_delay_s = random_.uniform(0.0, MAX_REFUSAL_DELAY_S)
    server.wanted_rest = str(REST_S)
    server.is_full = True
    await asyncio.sleep(duration_s)
    server.is_full = False
    server.wanted_rest = None


@_faults.FAULTS.register("crash-request")
async def send_crashing_request(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Lets a request that crashes engines come at any entry."""
    await _send(deployment, random_, duration_s, _crashes.REQUEST)


@_faults.FAULTS.register("crash-part")
async def send_crashing_part(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Lets requests come whose prompts share a part that crashes engines."""
    await _send(deployment, random_, duration_s, _crashes.PART)


async def _send(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
    kind: _crashes.CrashKind,
) -> None:
    end_s = asyncio.get_running_loop().time() + DURATION_FACTOR * duration_s
    await asyncio.gather(
        *(
            _send_until(
                deployment, random.Random(random_.random()), end_s, kind
            )
            for _ in range(CRASHING_CALLERS)
        )
    )


async def _send_until(
    deployment: _deployment.Deployment,
    random_: random.Random,
    end_s: float,
    kind: _crashes.CrashKind,
) -> None:
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        while loop.time() < end_s:
            await _send_one(deployment, random_, session, kind)
            await asyncio.sleep(random_.uniform(*PAUSE_S))


async def _send_one(
    deployment: _deployment.Deployment,
    random_: random.Random,
    session: aiohttp.ClientSession,
    kind: _crashes.CrashKind,
) -> None:
    number = next(_NUMBERS)
    attempt_id = f"{kind.prefix}-{number}"
    entry = random_.choice(deployment.entries)
    headers = provider_protocol.request_headers(PATH, attempt_id)
    if kind.parts:
        parts = [*kind.parts, f"own{number}"]
        headers |= provider_protocol.prompt_headers(parts)
    deployment.checks.record_request(
        _history.SentRequest(attempt_id, True, entry.ip, "writers")
    )
    url = f"http://{entry.public_proxy.listen_address}{PATH}"
    try:
        async with session.post(
            url, data=kind.body, headers=headers
        ) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        # It earns nothing: what counts is which servers it reached.
        deployment.history.statuses[0] += 1
