"""Request for a completion, and the services that are needed to run it."""

import dataclasses

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import retry
from lagooncrank.core import routing
from lagooncrank.server import _admission_service
from lagooncrank.server import _crashes
from lagooncrank.server import _engine_client
from lagooncrank.server import _interfaces
from lagooncrank.server import _metrics
from lagooncrank.server import _targets


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A caller's request for a completion by a model service."""

    #: Unique over all entries; the caller's own id may not be.
    request_id: model.RequestId
    account: model.ClientAccount
    service: model.ModelService
    prompt: str
    prompt_tokens: int
    max_tokens: int
    #: SHA-256 of the content, without the request id.
    digest: bytes
    arrived_ms: int
    deadline_ms: int

    def offer(self) -> admission.Offer:
        """Returns the request's parameters for admission."""
        target_ms = self.account.first_token_target_ms
        return admission.Offer(
            request_id=self.request_id,
            account=self.account.name,
            service=self.service.name,
            prompt_tokens=self.prompt_tokens,
            max_output_tokens=self.max_tokens,
            first_token_deadline_ms=min(
                self.arrived_ms + target_ms, self.deadline_ms
            ),
        )

    def retry_call(self) -> retry.Call:
        """Returns the request's parameters for the retry policy."""
        return retry.Call(
            request_id=self.request_id,
            account=self.account.name,
            service=self.service.name,
            repeatable=True,
            digest=self.digest,
            deadline_ms=self.deadline_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionContext:
    """Services of this entry that all completions share."""

    clock: clocks.Clock
    metrics: _metrics.Metrics
    shared: _interfaces.SharedState
    admission_service: _admission_service.AdmissionService
    targets: _targets.TargetDirectory
    router: routing.Router
    retry_policy: retry.RetryPolicy
    crash_monitor: _crashes.CrashMonitor
    client: _engine_client.EngineClient
