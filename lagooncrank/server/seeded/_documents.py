"""The operator's document: accepted on control nodes, in force on entries."""

from typing import Final

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import catalog as catalogs
from lagooncrank.core import state
from lagooncrank.server import _shared_state
from lagooncrank.server.seeded import _decisions
from lagooncrank.server.seeded import _wire

#: Wait for a commit before the operator is told to ask another node.
PUT_TIMEOUT_MS: Final = 900
READ_TIMEOUT_MS: Final = 800


class Documents:
    """Puts documents in force and reads the newest one."""

    def __init__(
        self,
        shared: _shared_state.ReplicatedState,
        codec: _wire.DocumentCodec,
        log: _decisions.DecisionLog,
    ) -> None:
        self._shared = shared
        self._codec = codec
        self._log = log
        self._catalog: catalogs.Catalog | None = None
        self._version = -1
        self._broken_version = -1
        self._has_caught_up = False

    async def put(self, content: bytes) -> results.ResultCode:
        """Validates a document and commits it.

        Returns:
            OK once it, or a higher version, is committed; otherwise why not.

        Raises:
            InvalidDocumentError: The document is invalid.
        """
        try:
            config = self._codec.read(content)
            problems = list(catalogs.find_problems(config))
            if problems:
                raise _wire.InvalidDocumentError(problems)
        except _wire.InvalidDocumentError as error:
            self._log.write(
                decisions.Event.DOCUMENT_REFUSED, problems=error.problems
            )
            raise
        command = state.PutDocument(config.version, content)
        outcome = await self._shared.propose(command, PUT_TIMEOUT_MS)
        return outcome.code

    async def newest(self) -> bytes | None:
        """Returns the document in force, confirmed by a quorum.

        Returns:
            None when no quorum confirms which document is the newest, or
            none was ever put.
        """
        if not await self._shared.confirm_read(READ_TIMEOUT_MS):
            return None
        document = self._shared.view.document
        return None if document is None else document.content

    @property
    def catalog(self) -> catalogs.Catalog | None:
        """The document in force at this node, indexed; None before any.

        After a start the log brings older documents first; none is used
        before the newest one is there.
        """
        if not self._has_caught_up:
            self._has_caught_up = self._shared.has_caught_up
            if not self._has_caught_up:
                return None
        document = self._shared.view.document
        if document is None or document.version == self._version:
            return self._catalog
        if document.version != self._broken_version:
            self._take(document)
        return self._catalog

    def _take(self, document: state.Document) -> None:
        try:
            config: model.ServingConfig = self._codec.read(document.content)
        except _wire.InvalidDocumentError as error:
            # Another version of the system accepted it; the last one stays.
            self._broken_version = document.version
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
