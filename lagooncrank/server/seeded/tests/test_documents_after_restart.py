"""A restarted node replays old documents before it knows the newest one."""

import dataclasses
import types
from typing import Any
from typing import cast

from lagooncrank import model
from lagooncrank.core import state
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _documents

WITHDRAWN_KEY = "old"
UNREADABLE = "unreadable"


@dataclasses.dataclass(slots=True)
class FakeShared:
    """Replicated state that is still being replayed."""

    has_caught_up: bool = False
    view: Any = None

    def replay(self, version: int, key: str) -> None:
        document = state.Document(version, key.encode())
        self.view = types.SimpleNamespace(document=document)


def decode(content: bytes) -> model.ServingConfig:
    if content == UNREADABLE.encode():
        raise _adapter.InvalidDocumentError(["unreadable"])
    account = model.AccountConfig(
        model.ClientAccountId("acme"), (content.decode(),)
    )
    return model.ServingConfig(1, (), (), (account,))


def document_store(shared: FakeShared) -> _documents.DocumentStore:
    return _documents.DocumentStore(
        cast(Any, shared),
        cast(Any, types.SimpleNamespace(decode=decode)),
        cast(Any, types.SimpleNamespace(write=lambda *_, **__: None)),
    )


def test_withdrawn_key_is_not_in_use_again_after_a_restart() -> None:
    shared = FakeShared()
    documents = document_store(shared)
    shared.replay(1, WITHDRAWN_KEY)
    assert documents.catalog is None
    shared.replay(2, "new")
    assert documents.catalog is None
    shared.has_caught_up = True
    catalog = documents.catalog
    assert catalog is not None
    assert catalog.find_account(WITHDRAWN_KEY) is None
    assert catalog.find_account("new") is not None


# Guards against: a node that cannot read the newest document went on with an
# older one, which other nodes no longer obeyed.
def test_older_document_is_not_in_use_after_one_that_cannot_be_read() -> None:
    shared = FakeShared(has_caught_up=True)
    documents = document_store(shared)
    shared.replay(1, WITHDRAWN_KEY)
    assert documents.catalog is not None
    shared.replay(2, UNREADABLE)
    assert documents.catalog is None
    shared.replay(3, "new")
    catalog = documents.catalog
    assert catalog is not None
    assert catalog.find_account("new") is not None
