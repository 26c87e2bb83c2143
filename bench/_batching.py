"""Stand-in of a replica that batches continuously, driven step by step."""

import collections
import dataclasses
import heapq

#: Duration of one step: constant, per sequence, per prompt token.
STEP_MS = 9.6
STEP_MS_PER_SEQUENCE = 0.2
STEP_MS_PER_PROMPT_TOKEN = 0.05
#: Prompt tokens computed in one step at most.
PREFILL_CHUNK_TOKENS = 512
#: Steps between two progress notes of a sequence.
PROGRESS_STEPS = 16


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """One attempt at one replica."""

    request_id: str
    account: str
    priority: int
    #: Prompt and resumed tokens still to be computed.
    prefill_tokens: int
    output_tokens: int
    first_step: int = -1
    last_note_step: int = 0
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What one step did for one sequence."""

    sequence: Sequence
    tokens: int
    first: bool
    done: bool


class BatchingReplica:
    """Runs sequences in one continuous batch; waiting ones by priority."""

    def __init__(self, name: str, slots: int, slowness: float = 1.0) -> None:
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.alive = True
        #: Whether a step is under way.
        self.stepping = False
        #: Sequences that got their first token, by account.
        self.decoding: collections.Counter[str] = collections.Counter()
        self._batch: set[Sequence] = set()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._cancelled_waiting = 0
        self._prefill: collections.deque[Sequence] = collections.deque()
        self._notes: list[tuple[int, int, Sequence]] = []
        self._step = 0
        self._order = 0

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return len(self._batch)

    @property
    def queued(self) -> int:
        """Sequences that wait for a place in the batch."""
        return len(self._waiting) - self._cancelled_waiting

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence."""
        self._order += 1
        item = (sequence.priority, self._order, sequence)
        heapq.heappush(self._waiting, item)

    def cancel(self, sequence: Sequence) -> int:
        """Removes a sequence; returns its tokens not yet noted."""
        sequence.cancelled = True
        if sequence not in self._batch:
            self._cancelled_waiting += 1
            return 0
        self._batch.discard(sequence)
        if sequence.first_step < 0:
            return 0
        self.decoding[sequence.account] -= 1
        return self._step - sequence.last_note_step

    def begin_step(self) -> float:
        """Fills the batch and returns the duration of the step, or 0."""
        while self._waiting and len(self._batch) < self.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.cancelled:
                self._cancelled_waiting -= 1
                continue
            self._batch.add(sequence)
            self._prefill.append(sequence)
        if not self._batch:
            return 0.0
        duration_ms = (
            STEP_MS
            + STEP_MS_PER_SEQUENCE * len(self._batch)
            + STEP_MS_PER_PROMPT_TOKEN * self._compute_prompts()
        )
        return duration_ms * self.slowness

    def end_step(self) -> list[Progress]:
        """Returns what the step did."""
        self._step += 1
        progress = []
        while self._prefill and self._prefill[0].prefill_tokens <= 0:
            sequence = self._prefill.popleft()
            if not sequence.cancelled:
                progress.append(self._first_token(sequence))
        while self._notes and self._notes[0][0] <= self._step:
            _, _, sequence = heapq.heappop(self._notes)
            if not sequence.cancelled:
                progress.append(self._note(sequence))
        return progress

    def _compute_prompts(self) -> int:
        left = PREFILL_CHUNK_TOKENS
        for sequence in self._prefill:
            if sequence.cancelled:
                sequence.prefill_tokens = 0
                continue
            part = min(left, sequence.prefill_tokens)
            sequence.prefill_tokens -= part
            left -= part
            if not left:
                break
        return PREFILL_CHUNK_TOKENS - left

    def _first_token(self, sequence: Sequence) -> Progress:
        sequence.first_step = self._step
        sequence.last_note_step = self._step
        self.decoding[sequence.account] += 1
        done = sequence.output_tokens <= 1
        if done:
            self._leave(sequence)
        else:
            self._push_note(sequence)
        return Progress(sequence, 1, first=True, done=done)

    def _note(self, sequence: Sequence) -> Progress:
        tokens = self._step - sequence.last_note_step
        sequence.last_note_step = self._step
        made = self._step - sequence.first_step + 1
        done = made >= sequence.output_tokens
        if done:
            self._leave(sequence)
        else:
            self._push_note(sequence)
        return Progress(sequence, tokens, first=False, done=done)

    def _push_note(self, sequence: Sequence) -> None:
        last_step = sequence.first_step + sequence.output_tokens - 1
        step = min(self._step + PROGRESS_STEPS, last_step)
        self._order += 1
        heapq.heappush(self._notes, (step, self._order, sequence))

    def _leave(self, sequence: Sequence) -> None:
        self._batch.discard(sequence)
        self.decoding[sequence.account] -= 1
