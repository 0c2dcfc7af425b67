"""When the next call to discovery is due. No clock and no I/O: callers pass the time, in seconds.

A gateway is expected to know of a change within PROPAGATION_TIME, despite failures, once discovery has the
change and is reachable. In the worst case a watch that has just been opened gets no answer, then
TOLERATED_FAILURES calls fail as late as possible, then one succeeds: WATCH_DELAY + (WATCH_TIMEOUT +
ANSWER_TIMEOUT) + TOLERATED_FAILURES x MAX_RETRY_DELAY + ANSWER_TIMEOUT = 5.42 s. If discovery is slow,
watches are shortened so that a watch without an answer and a slow answer after it still fit.
"""

from __future__ import annotations

PROPAGATION_TIME = 6.0  # seconds after which gateways are expected to know of a change
TOLERATED_FAILURES = 2  # successive failures after a watch without an answer; a late third does not fit
LAG_MARGIN = 0.4  # seconds of PROPAGATION_TIME reserved for parsing four answers and for late timers
WATCH_TIMEOUT = (
    2.0  # seconds that discovery is asked to hold a watch at most: a change may come so much later
)
MIN_WATCH_TIMEOUT = 0.2  # seconds
ANSWER_TIMEOUT = 0.7  # seconds beyond the watch timeout, from the connect on, after which a call is overdue
MAX_ANSWER_TIMEOUT = 2.4  # seconds; the limit where discovery is slow, which leaves time for a second call
SLOW_ANSWER_FACTOR = 1.5  # ratio of the answer timeout to the answer time where discovery is slow
ANSWER_TIME_DECAY = 0.7  # fraction of the answer time that is kept if the next answer is faster
OVERDUE_TIMEOUT_GROWTH = 1.25  # factor on the answer timeout for each overdue call
MAX_OVERDUE_TIMEOUT = (
    1.2  # seconds; limit of that growth, and of the time between two calls without an answer
)
WATCH_DELAY = 0.02  # seconds from an answer to the next watch; no busy loop if watches return at once
MIN_RETRY_DELAY = 0.1  # seconds; a call within 0.2 s of the last answer continues the watch
MAX_RETRY_DELAY = 1.0  # seconds from call to call while responses are unusable: discovery may be overloaded
MAX_CALLS = 3  # without an answer at the same time; more would add to the load of a slow discovery
CALL_TIMEOUT = 20.0  # seconds after which a call is cancelled


class CallSchedule:
    """Computes the time of the next call from the results of the earlier ones."""

    def __init__(self, now: float) -> None:
        self.next_call_at = now
        self.retry_delay = MIN_RETRY_DELAY  # seconds from the start of a failed call to the next
        self.answer_time = 0.0  # seconds beyond the watch timeout, as a decaying maximum
        self.answer_timeout = ANSWER_TIMEOUT

    def start_call(self, now: float, is_watch: bool, others_pending: bool = False) -> float:
        """Record the start of a call and return its watch timeout in seconds, 0 for a snapshot.

        With `others_pending`, other calls have no answer yet: discovery may be down, and its return must show
        soon, however slow its answers were before.
        """
        watch_timeout = 0.0
        if is_watch:
            reserved = WATCH_DELAY + MIN_RETRY_DELAY + 2 * self.answer_timeout  # no answer, then a slow one
            watch_timeout = max(
                MIN_WATCH_TIMEOUT, min(WATCH_TIMEOUT, PROPAGATION_TIME - LAG_MARGIN - reserved)
            )
        overdue_timeout = self.answer_timeout
        if others_pending:
            overdue_timeout = min(overdue_timeout, MAX_OVERDUE_TIMEOUT)
        self.next_call_at = now + watch_timeout + overdue_timeout
        return watch_timeout

    def on_overdue(self) -> None:
        """Record that a call has had no answer within its answer timeout."""
        self.retry_delay = MIN_RETRY_DELAY
        self.answer_timeout = max(
            self.answer_timeout, min(OVERDUE_TIMEOUT_GROWTH * self.answer_timeout, MAX_OVERDUE_TIMEOUT)
        )

    def on_answer(self, now: float, answer_time: float, is_watch: bool) -> None:
        """Record a valid answer.

        `answer_time` is in seconds beyond the watch timeout, negative if a watch returned before it.
        """
        if answer_time >= 0:
            self.answer_time = max(answer_time, ANSWER_TIME_DECAY * self.answer_time)
        self.answer_timeout = min(
            max(ANSWER_TIMEOUT, SLOW_ANSWER_FACTOR * self.answer_time), MAX_ANSWER_TIMEOUT
        )
        if is_watch:  # after a snapshot alone, watches may still be rejected
            self.retry_delay = MIN_RETRY_DELAY
        self.next_call_at = now + WATCH_DELAY

    def on_failure(
        self, now: float, started_at: float, unreachable: bool, others_pending: bool = False
    ) -> None:
        """Record a failed call.

        The delay from the start of this call to the next doubles with each failure, unless discovery is
        `unreachable`, in which case calls add no load. With `others_pending`, other calls have no answer yet,
        and the next call is due when they are overdue, if that is earlier.
        """
        if unreachable:
            self.retry_delay = MIN_RETRY_DELAY
        retry_at = now + max(MIN_RETRY_DELAY, self.retry_delay - (now - started_at))
        self.next_call_at = min(self.next_call_at, retry_at) if others_pending else retry_at
        self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY)
