"""Operators' document: committed by control nodes, applied by all nodes."""

from typing import Final

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import catalog as catalogs
from lagooncrank.core import state
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _decision_log

#: Timeout of a commit, after which the operator should retry at another node.
PUT_TIMEOUT_MS: Final = 900
READ_TIMEOUT_MS: Final = 800


class DocumentStore:
    """Commits documents and provides the newest one."""

    def __init__(
        self,
        shared: _shared_state.ReplicatedState,
        codec: _adapter.DocumentCodec,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._shared = shared
        self._codec = codec
        self._log = log
        self._catalog: catalogs.Catalog | None = None
        self._version = -1
        self._rejected_version = -1
        self._has_caught_up = False

    async def put(self, content: bytes) -> results.ResultCode:
        """Validates a document and commits it.

        Returns:
            OK once this or a higher version is committed; otherwise the reason
            of the failure.

        Raises:
            InvalidDocumentError: The document is invalid.
        """
        try:
            self._codec.check(content)
            config = self._codec.decode(content)
            problems = list(catalogs.find_problems(config))
            if problems:
                raise _adapter.InvalidDocumentError(problems)
        except _adapter.InvalidDocumentError as error:
            self._log.write(
                decisions.Event.DOCUMENT_REFUSED, problems=error.problems
            )
            raise
        command = state.PutDocument(config.version, content)
        outcome = await self._shared.propose(command, PUT_TIMEOUT_MS)
        return outcome.code

    async def read_newest(self) -> bytes | None:
        """Returns the document in force, confirmed by a quorum.

        Returns:
            None if no quorum confirms which document is the newest, or if
            there is no document yet.
        """
        if not await self._shared.confirm_read(READ_TIMEOUT_MS):
            return None
        document = self._shared.view.document
        return None if document is None else document.content

    @property
    def catalog(self) -> catalogs.Catalog | None:
        """Index of the document in force at this node; None before the first.

        After a start the log replays older documents first. None of them is
        used before this node has caught up.
        """
        if not self._has_caught_up:
            self._has_caught_up = self._shared.has_caught_up
            if not self._has_caught_up:
                return None
        document = self._shared.view.document
        if document is None or document.version == self._version:
            return self._catalog
        if document.version != self._rejected_version:
            self._apply(document)
        return self._catalog

    def _apply(self, document: state.Document) -> None:
        try:
            config: model.ServingConfig = self._codec.decode(document.content)
        except _adapter.InvalidDocumentError as error:
            # Another version of this software accepted the document. Other
            # nodes obey it, so the previous one must not stay in use here.
            self._catalog = None
            self._rejected_version = document.version
            self._log.write(
                decisions.Event.DOCUMENT_REFUSED,
                version=document.version,
                problems=error.problems,
            )
            return
        self._catalog = catalogs.Catalog(config)
        self._version = document.version
        self._log.write(
            decisions.Event.DOCUMENT,
            version=document.version,
            routes=len(config.routes),
        )
