"""Breaks the code on purpose, one mutation at a time, and checks that the named tests fail.

Run by hand: `python tests/mutations.py`. Each mutation works on a copy of the tree. A text that is not found
exactly once is an error, so that the list follows the code.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
COPIED = ("thymehinge", "tests", "deploy", "pyproject.toml", "KNOWN-RED.txt", "review")
TEST_TIMEOUT = 120.0  # seconds; a test that hangs counts as failed


@dataclass(frozen=True)
class Mutation:
    """A change that breaks a row of docs/terms-audit.md or a bound, and the tests that must notice."""

    row: str
    path: str
    before: str
    after: str
    tests: str


MUTATIONS = (
    Mutation(
        "P23",
        "thymehinge/net/servers.py",
        "self.loop.call_soon(self.loop.call_soon, self.mark_reusable, self.clock() - REUSE_DELAY)",
        "self.mark_reusable(self.clock() - REUSE_DELAY)",
        "tests/test_endings.py::test_duplicate_answer_is_read_before_reuse_timer_frees_connection",
    ),
    Mutation(
        "P31",
        "thymehinge/net/servers.py",
        "if not self.running or connection.address != self.address:",
        "if not self.running:",
        "tests/test_net.py::test_connection_in_use_is_not_reused_after_address_change",
    ),
    Mutation(
        "W11",
        "thymehinge/decisions.py",
        "quota.cap_level = plan.cap_rate / quota.spread * (now - self.cap_known_since)",
        "quota.cap_level = plan.cap_burst / quota.spread",
        "tests/test_rules.py::test_cap_holds_without_peer_messages_and_across_restarts",
    ),
    Mutation(
        "S20",
        "thymehinge/net/servers.py",
        "if n not in running and (is_snapshot or n in listed)",
        "if n not in running and n in listed",
        "tests/test_net.py::test_snapshot_closes_connections_to_unlisted_servers",
    ),
    Mutation(
        "D4",
        "thymehinge/net/client_memory.py",
        "if size <= self.limit_bytes - self.held_bytes:",
        "if size >= 0:",
        "tests/test_client_memory.py",
    ),
    Mutation(
        "O5",
        "thymehinge/net/discovery.py",
        "            self.keep_oldest_call(self.watcher)\n",
        "",
        "tests/test_address_changes.py",
    ),
    Mutation(
        "S2",
        "thymehinge/net/call_schedule.py",
        "overdue_timeout = min(overdue_timeout, MAX_OVERDUE_TIMEOUT)",
        "pass",
        "tests/test_slow_discovery.py::test_calls_to_silent_discovery_follow_soon_after_slow_answers",
    ),
    Mutation(
        "39 turns",
        "thymehinge/net/turns.py",
        "while self.queue and now < started_at + LOOP_TURN:",
        "while self.queue:",
        "tests/test_fair_share.py",
    ),
    Mutation(
        "39 shares",
        "thymehinge/net/fair_queue.py",
        "            flow.used_time += duration\n",
        "",
        "tests/test_fair_queue.py",
    ),
    Mutation(
        "47 common flow",
        "thymehinge/net/fair_queue.py",
        "self.new_used_time += duration / (NEW_FLOW_SHARES * max(1, len(self.waiting)))",
        "pass",
        "tests/test_fair_queue.py",
    ),
    Mutation(
        "47 common flow, connections",
        "thymehinge/net/fair_queue.py",
        "self.new_used_time += duration / (NEW_FLOW_SHARES * max(1, len(self.waiting)))",
        "pass",
        "tests/test_fair_share.py::test_kept_connection_is_served_while_others_connect_anew",
    ),
    Mutation(
        "47 first turns",
        "thymehinge/net/fair_queue.py",
        "duration = max(duration, MIN_FIRST_CHARGE)",
        "pass",
        "tests/test_fair_queue.py",
    ),
    Mutation(
        "47 credits",
        "thymehinge/net/fair_queue.py",
        "MAX_CREDIT = 0.0005",
        "MAX_CREDIT = 0.01",
        "tests/test_fair_share.py::test_burst_on_idle_connections_does_not_delay_a_busy_one",
    ),
    Mutation(
        "47 ended connections",
        "thymehinge/net/clients.py",
        "        self.turns.remove(connection)\n",
        "",
        "tests/test_fair_share.py",
    ),
    Mutation(
        "47 kept connections",
        "thymehinge/net/eviction.py",
        "return None if is_kept else longest_idle",
        "return longest_idle",
        "tests/test_descriptors.py",
    ),
    Mutation(
        "47 grace",
        "thymehinge/net/clients.py",
        "connection.idle_since = arrived_at",
        "pass",
        "tests/test_descriptors.py",
    ),
    Mutation(
        "39 timers",
        "thymehinge/decisions.py",
        "return job is None or job.done",
        "return False",
        "tests/test_bounded_state.py",
    ),
    Mutation(
        "39 customers",
        "thymehinge/customers.py",
        "evicted = self.evict() if len(self) >= MAX_CUSTOMERS else None",
        "evicted = None",
        "tests/test_bounded_state.py",
    ),
    Mutation(
        "39 caps",
        "thymehinge/decisions.py",
        "self.cap_known_since = max(self.cap_known_since, now - evicted.cap_refill_time())",
        "pass",
        "tests/test_bounded_state.py",
    ),
    Mutation(
        "39 ids",
        "thymehinge/net/request_ids.py",
        "self.keep(exchange.wire_id)",
        "pass",
        "tests/test_repeated_ids.py",
    ),
    Mutation(
        "39 closes",
        "thymehinge/net/exchange.py",
        "if not self.done and self.connection.hides_close():",
        "if False:",
        "tests/test_gone.py",
    ),
    Mutation(
        "39 lists",
        "thymehinge/net/slices.py",
        "await asyncio.sleep(0)",
        "pass",
        "tests/test_large_lists.py",
    ),
    Mutation(
        "39 peers",
        "thymehinge/net/rate_limit.py",
        "admitted = tokens >= 1.0",
        "admitted = True",
        "tests/test_peers.py",
    ),
    Mutation(
        "39 answers",
        "thymehinge/net/server_connection.py",
        "if servers.partial_answer_bytes > servers.max_partial_answer_bytes:",
        "if False:",
        "tests/test_server_answers.py",
    ),
    Mutation(
        "39 replies",
        "thymehinge/net/exchange.py",
        "if self.connection.has_to_wait(self) and not self.connection.clients.memory.admits(len(reply)):",
        "if False:",
        "tests/test_client_memory.py",
    ),
    Mutation(
        "39 unread",
        "thymehinge/net/client_connection.py",
        "        if self.discards_input:\n            self.discard_unread()\n",
        "",
        "tests/test_connection_end.py",
    ),
)


def is_caught(mutation: Mutation) -> bool:
    """Return whether the tests fail with the mutation.

    Raises ValueError if the text to replace is not found exactly once.
    """
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        for entry in COPIED:
            source = ROOT / entry
            if source.is_dir():
                shutil.copytree(source, root / entry, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, root / entry)
        path = root / mutation.path
        text = path.read_text()
        if text.count(mutation.before) != 1:
            raise ValueError(
                f"{mutation.row}: text found {text.count(mutation.before)} times: {mutation.before}"
            )
        path.write_text(text.replace(mutation.before, mutation.after))
        command = [sys.executable, "-m", "pytest", "-q", "-x", mutation.tests]
        try:
            result = subprocess.run(command, cwd=root, capture_output=True, timeout=TEST_TIMEOUT)
        except subprocess.TimeoutExpired:
            return True
        return result.returncode == 1


def main() -> int:
    """Run all mutations and print how many are caught; return 1 if any is not."""
    caught = 0
    for mutation in MUTATIONS:
        is_noticed = is_caught(mutation)
        caught += is_noticed
        print(f"{mutation.row}: {'caught' if is_noticed else 'NOT CAUGHT'} by {mutation.tests}", flush=True)
    print(f"{caught} of {len(MUTATIONS)} mutations caught")
    return int(caught < len(MUTATIONS))


if __name__ == "__main__":
    sys.exit(main())
