"""Simulated replica with continuous batching, driven step by step."""

import collections
import dataclasses
import heapq

#: Duration of a step: a constant, and parts per sequence and prompt token.
STEP_BASE_MS = 9.6
STEP_MS_PER_SEQUENCE = 0.2
STEP_MS_PER_PROMPT_TOKEN = 0.05
#: Maximum number of prompt tokens computed in one step.
PREFILL_CHUNK_TOKENS = 512
#: Steps between two progress reports of a sequence.
PROGRESS_INTERVAL_STEPS = 16


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """One attempt of a request at one replica."""

    request_id: str
    account: str
    priority: int
    #: Tokens of the prompt and of earlier attempts' output yet to be computed.
    prefill_tokens: int
    output_tokens: int
    first_step: int = -1
    last_progress_step: int = 0
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Tokens that one sequence generated since its previous report."""

    sequence: Sequence
    tokens: int
    #: Whether this reports the first token of the attempt.
    is_first: bool
    #: Whether the sequence is complete.
    is_done: bool


class BatchingReplica:
    """Runs sequences in one continuous batch.

    Sequences wait for a free slot in order of priority, then of arrival.
    """

    def __init__(self, name: str, slots: int, slowdown: float = 1.0) -> None:
        self.name = name
        self.slots = slots
        self.slowdown = slowdown
        self.is_alive = True
        #: Whether a step is in progress.
        self.is_stepping = False
        #: Number of sequences past their first token, by account.
        self.decoding: collections.Counter[str] = collections.Counter()
        self._batch: set[Sequence] = set()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._cancelled_waiting = 0
        self._prefill_queue: collections.deque[Sequence] = collections.deque()
        self._progress_queue: list[tuple[int, int, Sequence]] = []
        self._step = 0
        self._push_count = 0

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._batch)

    @property
    def queued(self) -> int:
        """Number of sequences that wait for a slot in the batch."""
        return len(self._waiting) - self._cancelled_waiting

    def enqueue(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue."""
        self._push_count += 1
        item = (sequence.priority, self._push_count, sequence)
        heapq.heappush(self._waiting, item)

    def cancel(self, sequence: Sequence) -> int:
        """Removes a sequence and returns its number of unreported tokens."""
        sequence.cancelled = True
        if sequence not in self._batch:
            self._cancelled_waiting += 1
            return 0
        self._batch.discard(sequence)
        if sequence.first_step < 0:
            return 0
        self.decoding[sequence.account] -= 1
        return self._step - sequence.last_progress_step

    def begin_step(self) -> float:
        """Fills the batch from the queue.

        Returns:
            The duration of the step, 0 if the batch is empty.
        """
        while self._waiting and len(self._batch) < self.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.cancelled:
                self._cancelled_waiting -= 1
                continue
            self._batch.add(sequence)
            self._prefill_queue.append(sequence)
        if not self._batch:
            return 0.0
        duration_ms = (
            STEP_BASE_MS
            + STEP_MS_PER_SEQUENCE * len(self._batch)
            + STEP_MS_PER_PROMPT_TOKEN * self._compute_prompts()
        )
        return duration_ms * self.slowdown

    def end_step(self) -> list[Progress]:
        """Completes the step and returns the progress reports due after it."""
        self._step += 1
        progress = []
        while (
            self._prefill_queue and self._prefill_queue[0].prefill_tokens <= 0
        ):
            sequence = self._prefill_queue.popleft()
            if not sequence.cancelled:
                progress.append(self._first_token(sequence))
        while self._progress_queue and self._progress_queue[0][0] <= self._step:
            _, _, sequence = heapq.heappop(self._progress_queue)
            if not sequence.cancelled:
                progress.append(self._report_progress(sequence))
        return progress

    def _compute_prompts(self) -> int:
        remaining = PREFILL_CHUNK_TOKENS
        for sequence in self._prefill_queue:
            if sequence.cancelled:
                sequence.prefill_tokens = 0
                continue
            computed = min(remaining, sequence.prefill_tokens)
            sequence.prefill_tokens -= computed
            remaining -= computed
            if not remaining:
                break
        return PREFILL_CHUNK_TOKENS - remaining

    def _first_token(self, sequence: Sequence) -> Progress:
        sequence.first_step = self._step
        sequence.last_progress_step = self._step
        self.decoding[sequence.account] += 1
        is_done = sequence.output_tokens <= 1
        if is_done:
            self._remove(sequence)
        else:
            self._schedule_progress(sequence)
        return Progress(sequence, 1, is_first=True, is_done=is_done)

    def _report_progress(self, sequence: Sequence) -> Progress:
        tokens = self._step - sequence.last_progress_step
        sequence.last_progress_step = self._step
        generated_tokens = self._step - sequence.first_step + 1
        is_done = generated_tokens >= sequence.output_tokens
        if is_done:
            self._remove(sequence)
        else:
            self._schedule_progress(sequence)
        return Progress(sequence, tokens, is_first=False, is_done=is_done)

    def _schedule_progress(self, sequence: Sequence) -> None:
        last_step = sequence.first_step + sequence.output_tokens - 1
        step = min(self._step + PROGRESS_INTERVAL_STEPS, last_step)
        self._push_count += 1
        heapq.heappush(self._progress_queue, (step, self._push_count, sequence))

    def _remove(self, sequence: Sequence) -> None:
        self._batch.discard(sequence)
        self.decoding[sequence.account] -= 1
