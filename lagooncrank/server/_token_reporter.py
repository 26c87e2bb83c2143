"""Tells admission and routing of the output tokens of one draft."""

from lagooncrank.server import _completion

#: Tokens after which admission and routing are told of them.
TOKENS_PER_REPORT = 8


class TokenReporter:
    """Counts tokens and passes them on a few at a time.

    Telling each token alone would cost more than relaying it.
    """

    def __init__(
        self,
        parts: _completion.CompletionContext,
        draft: _completion.CompletionRequest,
    ) -> None:
        self._parts = parts
        self._draft = draft
        self._has_first = False
        self._count = 0

    def add(self, tokens: int) -> None:
        """Counts tokens that just arrived; the first one is told at once."""
        if not tokens:
            return
        if not self._has_first:
            self._has_first = True
            self._note_first()
            tokens -= 1
        self._count += tokens
        if self._count >= TOKENS_PER_REPORT:
            self.flush()

    def flush(self) -> None:
        """Passes on what was counted."""
        if not self._count:
            return
        parts = self._parts
        request_id = self._draft.request_id
        parts.admission_service.tokens(request_id, self._count)
        parts.router.tokens(request_id, self._count, parts.clock.now_ms())
        self._count = 0

    def _note_first(self) -> None:
        parts = self._parts
        now_ms = parts.clock.now_ms()
        parts.admission_service.first_token(self._draft.request_id)
        parts.router.first_token(self._draft.request_id, now_ms)
        waited_ms = now_ms - self._draft.arrived_ms
        parts.metrics.first_token(self._draft.service.name, waited_ms)
