"""Reports the output tokens of one completion to admission and routing."""

from lagooncrank.server import _completion

#: Number of tokens that are reported together.
TOKENS_PER_REPORT = 8


class TokenReporter:
    """Counts output tokens and reports several at a time.

    Reporting each token by itself would cost more than relaying it.
    """

    def __init__(
        self,
        context: _completion.CompletionContext,
        request: _completion.CompletionRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._has_first = False
        self._unreported = 0

    def add(self, tokens: int) -> None:
        """Counts tokens that just arrived; reports the first one at once."""
        if not tokens:
            return
        if not self._has_first:
            self._has_first = True
            self._report_first()
            tokens -= 1
        self._unreported += tokens
        if self._unreported >= TOKENS_PER_REPORT:
            self.flush()

    def flush(self) -> None:
        """Reports the tokens that are counted but not reported yet."""
        if not self._unreported:
            return
        context = self._context
        request_id = self._request.request_id
        context.admission_service.tokens(request_id, self._unreported)
        context.router.tokens(
            request_id, self._unreported, context.clock.now_ms()
        )
        self._unreported = 0

    def _report_first(self) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        context.admission_service.first_token(self._request.request_id)
        context.router.first_token(self._request.request_id, now_ms)
        duration_ms = now_ms - self._request.arrived_ms
        context.metrics.first_token(self._request.service.name, duration_ms)
