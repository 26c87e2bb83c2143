"""A restarted node replays old documents before it knows the newest one."""

import dataclasses
import types
from typing import Any
from typing import cast

from lagooncrank import model
from lagooncrank.core import state
from lagooncrank.server.seeded import _documents

WITHDRAWN_KEY = "old"


@dataclasses.dataclass(slots=True)
class FakeShared:
    """Replicated state that is still being replayed."""

    has_caught_up: bool = False
    view: Any = None

    def replay(self, version: int, key: str) -> None:
        document = state.Document(version, key.encode())
        self.view = types.SimpleNamespace(document=document)


def decode(content: bytes) -> model.ServingConfig:
    account = model.AccountConfig(
        model.ClientAccountId("acme"), (content.decode(),)
    )
    return model.ServingConfig(1, (), (), (account,))


def test_withdrawn_key_is_not_in_use_again_after_a_restart() -> None:
    shared = FakeShared()
    documents = _documents.DocumentStore(
        cast(Any, shared),
        cast(Any, types.SimpleNamespace(decode=decode)),
        cast(Any, types.SimpleNamespace(write=lambda *_, **__: None)),
    )
    shared.replay(1, WITHDRAWN_KEY)
    assert documents.catalog is None
    shared.replay(2, "new")
    assert documents.catalog is None
    shared.has_caught_up = True
    catalog = documents.catalog
    assert catalog is not None
    assert catalog.find_account(WITHDRAWN_KEY) is None
    assert catalog.find_account("new") is not None
