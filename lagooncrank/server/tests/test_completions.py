import asyncio
import json
from typing import Any

import pytest

from lagooncrank.server.tests import harness as harnesses
from standins import _tokens


async def read_events(response: Any) -> list[str]:
    text = (await response.read()).decode()
    return [part for part in text.split("\n\n") if part]


def joined_text(events: list[str]) -> str:
    chunks = [json.loads(e.removeprefix("data: ")) for e in events[:-1]]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)


async def test_stream_contains_the_complete_text(
    harness: harnesses.DaemonHarness,
) -> None:
    async with harness.complete(stream=True, max_tokens=30) as response:
        events = await read_events(response)
    assert response.status == 200
    assert joined_text(events) == _tokens.answer("hello", 30)
    assert events[-1] == "data: [DONE]"


async def test_callers_that_share_a_request_id_get_their_own_completions(
    harness: harnesses.DaemonHarness,
) -> None:
    async def complete(prompt: str) -> str:
        body = {"model": harnesses.MODEL, "prompt": prompt, "max_tokens": 20}
        headers = harnesses.HEADERS | {"X-Request-Id": "same"}
        async with harness.session.post(
            harness.url("/v1/completions"), json=body, headers=headers
        ) as response:
            answer = await response.json()
        return str(answer["choices"][0]["text"])

    prompts = [f"prompt {index}" for index in range(20)]
    texts = await asyncio.gather(*(complete(prompt) for prompt in prompts))
    assert texts == [_tokens.answer(prompt, 20) for prompt in prompts]


async def test_connections_to_engines_are_reused(
    harness: harnesses.DaemonHarness,
) -> None:
    for _ in range(6):
        async with harness.complete(max_tokens=2) as response:
            await response.read()
        await harnesses.wait_until(
            lambda: not any(e.running for e in harness.engines)
        )
    used = [e for e in harness.engines if e.requests]
    assert sum(len(e.requests) for e in used) == 6
    assert [len(e.peer_addresses) for e in used] == [1] * len(used)


async def test_response_without_stream(
    harness: harnesses.DaemonHarness,
) -> None:
    async with harness.complete(max_tokens=30) as response:
        answer = await response.json()
    choice = answer["choices"][0]
    assert choice["text"] == _tokens.answer("hello", 30)
    assert choice["finish_reason"] == "length"
    assert answer["usage"]["completion_tokens"] == 30


@pytest.mark.parametrize(
    "content",
    [
        pytest.param("hello", id="text"),
        pytest.param([{"type": "text", "text": "hello"}], id="parts"),
    ],
)
async def test_chat(harness: harnesses.DaemonHarness, content: Any) -> None:
    body = {
        "model": harnesses.MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_completion_tokens": 5,
    }
    url = harness.url("/v1/chat/completions")
    async with harness.session.post(
        url, json=body, headers=harnesses.HEADERS
    ) as response:
        answer = await response.json()
    message = answer["choices"][0]["message"]
    assert message["content"] == _tokens.answer("user: hello", 5)


async def test_models_are_listed(harness: harnesses.DaemonHarness) -> None:
    url = harness.url("/v1/models")
    async with harness.session.get(url, headers=harnesses.HEADERS) as response:
        answer = await response.json()
    assert [entry["id"] for entry in answer["data"]] == [harnesses.MODEL]
