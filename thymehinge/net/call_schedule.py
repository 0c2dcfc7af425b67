"""When the next call to discovery is due. No clock and no I/O: times (s) come with each word.

A change counts as told 6 s after discovery had it and could be reached, whatever has failed since. In the
worst order a watch opened just then falls silent, FAILURES calls after it fail as late as they may, and a
good answer comes last: GAP + (WATCH + ANSWER) + FAILURES x PAUSE_MOST + ANSWER = 5.42 s. Where discovery is
slow, watches wait less, so that one that falls silent and a slow answer after it fit in.
"""

from __future__ import annotations

TOLD = 6.0  # s after which a change counts as told
FAILURES = 2  # calls in a row that may fail after the one that was out; a third that fails late does not fit
MARGIN = 0.4  # s of TOLD kept for our own lag: reading four answers, and timers that are late
WATCH, WATCH_LEAST = 2.0, 0.2  # s that a watch waits: what it holds back counts as told only so much later
ANSWER = 0.7  # s beyond that after which a call is overdue, from the connect to the last byte
ANSWER_MOST = 2.4  # s of it at most, where discovery is known to be slow: it leaves time for a second call
SLOW = 1.5  # times what its last answers took that a slow discovery may take
FADE = 0.7  # of what the answer before took that is still reckoned with
OVERDUE_GROWTH, OVERDUE_MOST = 1.25, 1.2  # factor from one overdue call to the next; s between them at most
GAP = 0.02  # s between an answer and the next watch, lest one that never waits takes the processor
PAUSE = 0.1  # s at least between a failed call and the next, under the 200 ms that keep a watch
PAUSE_MOST = 1.0  # s from call to call while what answers can't be used: it may be overbooked
CALLS_MOST = 3  # calls without an answer at once: more would crowd a discovery that is slow
SLOWEST = 20.0  # s after which a call is given up for good


class CallSchedule:
    """The time of the next call, by how the calls before it ended."""

    def __init__(self, now: float) -> None:
        self.next_at = now
        self.pause = PAUSE  # from the start of a call that has failed to the next
        self.took = 0.0  # s that answers take of late
        self.patience = ANSWER  # s after which a call is overdue

    def begin(self, now: float, watch: bool) -> float:
        """A call begins; for how long it may be held as a watch."""
        wait = 0.0
        if watch:
            least = GAP + PAUSE + 2 * self.patience  # one that falls silent, and the answer after it
            wait = max(WATCH_LEAST, min(WATCH, TOLD - MARGIN - least))
        self.next_at = now + wait + self.patience
        return wait

    def overdue(self) -> None:
        """A call has no answer though its time is up."""
        self.pause = PAUSE
        self.patience = max(self.patience, min(OVERDUE_GROWTH * self.patience, OVERDUE_MOST))

    def answered(self, now: float, took: float, watch: bool) -> None:
        """A good answer came, so long after it was due; below 0 it came before a watch's wait was over."""
        if took >= 0:
            self.took = max(took, FADE * self.took)
        self.patience = min(max(ANSWER, SLOW * self.took), ANSWER_MOST)
        if watch:  # a whole list alone proves little: watches may be turned away yet
            self.pause = PAUSE
        self.next_at = now + GAP

    def failed(self, now: float, begun: float, away: bool, others: bool = False) -> None:
        """A call failed; `away` says that nothing answered, so that calls cost discovery nothing.

        `others` says that other calls have no answer yet: they may be overdue before the pause ends.
        """
        if away:
            self.pause = PAUSE
        after_pause = now + max(PAUSE, self.pause - (now - begun))
        self.next_at = min(self.next_at, after_pause) if others else after_pause
        self.pause = min(2 * self.pause, PAUSE_MOST)
