"""Test faults that operators of similar systems have met: each is named where it is guarded."""

from __future__ import annotations

import asyncio
import math
import random
import struct
from collections.abc import Callable

import msgspec
import pytest
from aiohttp import web

from currantbarrow.direct.entry import DirectEntry
from currantbarrow.direct.model import JobState
from currantbarrow.direct.processes import FORGET_MS, ProcessEvidence
from currantbarrow.direct.supervision import RESTART_DELAY_MS, apply_each, keep_running
from currantbarrow.exceptions import LinkError, LogUnavailable, WorkerSilent
from currantbarrow.observe import HybridClock, MetricsRegistry, create_clock
from currantbarrow.platform.store import READ_HEADER, StoreClient
from currantbarrow.platform.topics import TopicHostDirectory
from currantbarrow.platform.worker import HttpWorkerControl
from currantbarrow.protocol import Hello, Message, Role
from currantbarrow.protocol.direct import (
    ClearedJob,
    DropTasks,
    EntryPing,
    HostRow,
    PeerPing,
    ReportJobs,
    RunTasks,
    SessionPing,
    ShareHosts,
    SideReport,
    TakenRow,
    TaskOrder,
    WorkerState,
)
from currantbarrow.protocol.websocket import create_network
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from direct_scenarios import run_fleet
from soak.store import MemoryStore
from test_platform import serve

JOB = "a" * 16
RUN_MS = 1000.0
STATE = WorkerState("w", "work", True, 1, 1, 1, 1, 1, 1, 0, 0, 0.0, False, [])
GONE = HostRow(Role.ENTRY.value, "entry-2:1", "entry-2.gone", "one")


def known(entry: DirectEntry) -> set[str]:
    return {row.address for row in entry.known_processes()}


async def complete_job(fleet: DirectFleet, entry: str, job: str = JOB) -> None:
    """Check that an entry still serves a job."""
    async with asyncio.timeout(5.0):
        assert await fleet.submit(entry, fleet.build_job(job, 2, 100.0)) == JobState.COMPLETED


class TestSilentHost:
    """Fault (a): work of a host that was only silent was started elsewhere, or given up."""

    @pytest.mark.parametrize("silent_s", [0.2, 0.5])
    @pytest.mark.parametrize("kind", ["cut", "pause"])
    def test_run_continues_while_its_side_process_is_silent(
        self, kind: str, silent_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            first = asyncio.create_task(fleet.submit("entry-0", fleet.build_job(JOB, 4, RUN_MS)))
            await asyncio.sleep(0.1)
            if kind == "cut":
                fleet.fabric.cut("entry-0", "side-0")
            else:
                fleet.fabric.pause("side-0")
            await asyncio.sleep(silent_s)
            if kind == "cut":
                fleet.fabric.restore("entry-0", "side-0")
            else:
                fleet.fabric.resume("side-0")
            assert await first == JobState.COMPLETED
            assert len(fleet.runs.started) == 4

        run_fleet(scenario, DirectPlan(sides=1))

    @pytest.mark.parametrize("cut_s", [0.05, 0.3])
    def test_result_that_a_broken_link_has_lost_is_reported_on_the_next_one(
        self, cut_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            first = asyncio.create_task(fleet.submit("entry-0", fleet.build_job(JOB, 4, 500.0)))
            await asyncio.sleep(0.45)
            fleet.fabric.cut("entry-0", "side-0")
            # The runs end, and the entry gives the link up before it has received their ends.
            await asyncio.sleep(cut_s)
            for handle in fleet.entries["entry-0"].fleet.handles():
                handle.link.abort()
            await asyncio.sleep(0.1)
            fleet.fabric.restore("entry-0", "side-0")
            assert await first == JobState.COMPLETED
            assert len(fleet.runs.started) == 4

        run_fleet(scenario, DirectPlan(entries=1, sides=1))


class TestDepartedProcess:
    """Fault (d): after a restart, a server that had left or a withdrawn key was in use again."""

    def test_withdrawn_process_is_not_learnt_again_from_a_stale_peer(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            entry = fleet.entries["entry-0"]
            row = fleet.directory.rows["entry-2:1"]
            await fleet.kill_entry("entry-2")
            await asyncio.sleep(0.01)
            await fleet.directory.withdraw(row)
            entry.add_processes([row])
            assert "entry-2:1" not in known(entry)

        run_fleet(scenario)

    def test_new_process_at_a_withdrawn_address_is_used(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            row = fleet.directory.rows["entry-2:1"]
            await fleet.kill_entry("entry-2")
            await asyncio.sleep(0.01)
            await fleet.directory.withdraw(row)
            await fleet.start_entry("entry-2")
            await asyncio.sleep(1.0)
            assert "entry-2:1" in known(fleet.entries["entry-0"])

        run_fleet(scenario)

    def test_restarted_entry_forgets_a_withdrawn_process_that_a_stale_peer_named(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            entry = fleet.entries["entry-0"]
            row = fleet.directory.rows["entry-2:1"]
            await fleet.kill_entry("entry-2")
            await asyncio.sleep(0.01)
            await fleet.directory.withdraw(row)
            entry.add_processes([GONE])
            assert "entry-2:1" in known(entry)
            await asyncio.sleep(FORGET_MS / 1000 + 2.0)
            assert "entry-2:1" not in known(entry)

        run_fleet(scenario)

    def test_removal_that_was_missed_shows_in_the_next_listing(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await fleet.kill_entry("entry-2")
            await asyncio.sleep(0.01)
            # As when the store kept no records from the time of a lost contact.
            del fleet.directory.rows["entry-2:1"]
            fleet.directory.list_again()
            await asyncio.sleep(FORGET_MS / 1000 + 2.0)
            assert "entry-2:1" not in known(fleet.entries["entry-0"])
            assert fleet.entries["entry-0"].dispatcher.peers == ("entry-1:1",)

        run_fleet(scenario)

    def test_linked_processes_are_kept_although_the_directory_has_lost_them(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            before = known(fleet.entries["entry-0"])
            for address in list(fleet.directory.rows):
                if address != "entry-0:1":
                    del fleet.directory.rows[address]
            fleet.directory.list_again()
            await asyncio.sleep(FORGET_MS / 1000 + 2.0)
            assert known(fleet.entries["entry-0"]) == before

        run_fleet(scenario)

    def test_listing_without_the_own_process_proves_nothing(self) -> None:
        evidence = ProcessEvidence("entry-0:1")
        evidence.record_published(GONE)
        evidence.record_listing(frozenset())
        for now_ms in (0.0, 2 * FORGET_MS):
            assert evidence.find_departed([GONE.address], lambda address: False, now_ms) == []
        evidence.record_listing(frozenset({"entry-0:1"}))
        assert evidence.find_departed([GONE.address], lambda address: False, 0.0) == []
        departed = evidence.find_departed([GONE.address], lambda address: False, FORGET_MS)
        assert departed == [GONE.address]

    @pytest.mark.parametrize("store_down", [False, True])
    def test_worker_that_reported_its_shutdown_gets_no_runs_from_a_restarted_side_process(
        self, store_down: bool
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            stored = fleet.stored_announcements["side-0"]
            stored.down = store_down
            leaving = asyncio.create_task(fleet.shut_down_worker("side-0", 6000.0))
            await asyncio.sleep(0.5)
            stored.down = False
            await asyncio.sleep(1.0)
            fleet.stop_announcing("side-0")
            await fleet.kill_side("side-0")
            await fleet.start_side("side-0")
            fleet.stop_announcing("side-0")
            await asyncio.sleep(1.0)
            assert not fleet.sides["side-0"].driver.state().accepting
            leaving.cancel()

        run_fleet(scenario, DirectPlan(entries=1, sides=1))

    def test_delayed_announcement_does_not_replace_that_of_a_leaving_worker(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            late = fleet.workers["side-0"].announcement()
            fleet.workers["side-0"].leaving = True
            await asyncio.sleep(1.0)
            await fleet.sides["side-0"].handle_announcement(late)
            stored = await fleet.stored_announcements["side-0"].load()
            assert stored is not None
            assert stored.leaving

        run_fleet(scenario, DirectPlan(entries=1, sides=1))


MESSAGES: list[Message] = [
    SessionPing(math.inf),
    SessionPing(math.nan),
    RunTasks(math.inf, 2**62, JOB, "\0", [TaskOrder(-1, -1, -1, 1, 1, 1, math.nan, -math.inf)]),
    DropTasks(math.nan, ""),
    ClearedJob(7),
    SideReport(math.nan, -5, STATE),
    EntryPing(-3, [TakenRow("", math.nan), TakenRow(JOB, -math.inf)], "\0"),
    ReportJobs(1, [TakenRow(JOB, math.nan)], ""),
    ShareHosts([HostRow("", "", "", ""), HostRow("entry", "[:99999", "\0", "")]),
    PeerPing(),
]


class TestMalformedMessages:
    """Fault (f): one malformed message ended a process, or left it without a loop."""

    @pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
    @pytest.mark.parametrize("role", [Role.ENTRY, Role.SIDE])
    def test_processes_serve_after_a_message_with_unusual_values(
        self, role: Role, message: Message
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            hello = Hello(role, "stranger", "stranger.1", data_centre="one")
            for address in ("entry-0:1", "side-0:1"):
                link = await fleet.fabric.connect(address, hello)
                link.post(message)
            await asyncio.sleep(0.5)
            await complete_job(fleet, "entry-0")

        run_fleet(scenario, DirectPlan(sides=1))

    def test_acknowledgement_from_the_future_does_not_extend_a_lease(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            hello = Hello(Role.ENTRY, "stranger", "stranger.1", data_centre="one")
            link = await fleet.fabric.connect("side-0:1", hello)
            link.post(SessionPing(1e12))
            await asyncio.sleep(1.0)
            assert link.closed

        run_fleet(scenario, DirectPlan(sides=1))

    def test_age_that_is_not_a_number_does_not_hide_a_later_acceptance(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            entry = fleet.entries["entry-0"]
            entry.handle_peer_ping(EntryPing(0, [TakenRow(JOB, math.nan)], "x:1"), "x.1")
            entry.handle_peer_ping(EntryPing(0, [TakenRow(JOB, 10.0)], "y:1"), "y.1")
            acceptance = entry.history.accepted_elsewhere(JOB)
            assert acceptance is not None
            assert acceptance.address == "y:1"

        run_fleet(scenario)


def break_once(monkeypatch: pytest.MonkeyPatch, owner: object, name: str) -> list[str]:
    """Make the next call of a method fail, and return a list that then names it."""
    original: Callable[..., object] = getattr(owner, name)
    failed: list[str] = []

    def fail(*args: object, **kwargs: object) -> object:
        if not failed:
            failed.append(name)
            raise RuntimeError("unexpected")
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, fail)
    return failed


FAULTS: dict[str, Callable[[DirectFleet], tuple[object, str]]] = {
    "entry tick": lambda fleet: (fleet.entries["entry-0"].dispatcher, "tick"),
    "entry expiry": lambda fleet: (fleet.entries["entry-0"], "_forget_departed"),
    "fleet check": lambda fleet: (fleet.entries["entry-0"].fleet, "_update_warm_links"),
    "peer pings": lambda fleet: (fleet.entries["entry-0"].peers, "ping_all"),
    "report": lambda fleet: (fleet.entries["entry-0"].fleet, "_handle_report"),
    "peer message": lambda fleet: (fleet.entries["entry-0"].peers, "_handle_next"),
    "peer ping": lambda fleet: (fleet.entries["entry-0"], "handle_peer_ping"),
    "side tick": lambda fleet: (fleet.sides["side-0"].driver, "tick"),
    "order": lambda fleet: (fleet.sides["side-0"], "_handle_orders"),
    "acknowledgement": lambda fleet: (fleet.sides["side-0"], "_renew_lease"),
    "poll answer": lambda fleet: (fleet.sides["side-0"].driver, "_apply_poll_result"),
    "run end": lambda fleet: (fleet.sides["side-0"].driver, "_apply_end"),
    "start": lambda fleet: (fleet.workers["side-0"], "start"),
    "poll": lambda fleet: (fleet.workers["side-0"], "poll"),
}


class TestUnexpectedErrors:
    """Fault (f): an unexpected error in one handler ended a loop, and nobody noticed."""

    @pytest.mark.parametrize("fault", FAULTS)
    def test_job_completes_although_a_handler_fails_once(
        self, fault: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            failed = break_once(monkeypatch, *FAULTS[fault](fleet))
            async with asyncio.timeout(20.0):
                assert await fleet.submit("entry-0", fleet.build_job(JOB, 4, RUN_MS)) == (
                    JobState.COMPLETED
                )
                # Peers without news ping one another every 3 s.
                while not failed:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(3.0)
            await complete_job(fleet, "entry-0", "b" * 16)
            await complete_job(fleet, "entry-1", "c" * 16)

        run_fleet(scenario, DirectPlan(sides=1))

    def test_stop_that_fails_is_repeated(self, monkeypatch: pytest.MonkeyPatch) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            failed = break_once(monkeypatch, fleet.workers["side-0"], "stop")
            first = asyncio.create_task(fleet.submit("entry-0", fleet.build_job(JOB, 4, 9e3)))
            await asyncio.sleep(0.2)
            dispatcher = fleet.entries["entry-0"].dispatcher
            dispatcher.abandon(dispatcher.jobs[JOB])
            assert await first == JobState.ABANDONED
            await asyncio.sleep(1.0)
            assert failed
            assert not fleet.sides["side-0"].driver.runs()

        run_fleet(scenario, DirectPlan(sides=1))

    def test_loop_is_started_again_until_it_returns(self) -> None:
        metrics, calls = MetricsRegistry(), []

        async def loop() -> None:
            calls.append(asyncio.get_running_loop().time())
            if len(calls) < 3:
                raise RuntimeError("unexpected")

        run_virtual(keep_running("test", loop, clock=LoopClock(), metrics=metrics))
        assert len(calls) == 3
        assert calls[2] - calls[0] >= 2 * RESTART_DELAY_MS / 1000

    def test_items_after_one_that_fails_are_applied(self) -> None:
        applied: list[float] = []
        apply_each(
            [1.0, 0.0, 2.0],
            lambda item: applied.append(1 / item),
            kind="number",
            metrics=MetricsRegistry(),
        )
        assert applied == [1.0, 0.5]


class TestMalformedRecords:
    """Fault (f): one malformed record of another writer hid the records after it."""

    def test_hosts_after_a_malformed_record_are_reported(self) -> None:
        good = msgspec.json.encode(HostRow("side", "good:1", "good.1", "one"))
        other = msgspec.json.encode(HostRow("side", "other:1", "other.1", "one"))
        fails = msgspec.json.encode(HostRow("side", "fails:1", "fails.1", "one"))
        malformed = [b"\xff", b"{}", b"[]", b"[1,2,3,4]", b'["side","bad:1"]', b"null", other]
        rows: list[str] = []
        listings: list[frozenset[str]] = []

        def handle_row(row: HostRow) -> None:
            if row.address == "fails:1":
                raise RuntimeError("unexpected")
            rows.append(row.address)

        async def client(address: str) -> None:
            store, metrics = StoreClient(address), MetricsRegistry()
            directory = TopicHostDirectory(store, create_clock(), random.Random(1), metrics)
            following = asyncio.create_task(
                directory.follow(handle_row, rows.remove, listings.append)
            )
            await asyncio.sleep(0.2)
            for value in (*malformed, fails, good):
                key = b"fails:1" if value is fails else b"good:1" if value is good else b"bad:1"
                memory.append("keyed.hosts", bytes([len(key)]) + key + value)
            memory.append("keyed.hosts", b"\xffkey is shorter")
            memory.append("keyed.hosts", b"")
            await asyncio.sleep(0.5)
            assert not following.done()
            following.cancel()
            await store.close()

        memory = MemoryStore()
        serve(memory.handle, client)
        assert rows == ["good:1"]
        assert listings

    @pytest.mark.parametrize("missing", [1, 3, 6])
    def test_truncated_page_is_read_again(self, missing: int) -> None:
        record = struct.pack(">I", 5) + b"\x01kv12"

        async def handler(request: web.Request) -> web.Response:
            header = READ_HEADER.pack(0, 0)
            return web.Response(body=header + record + record[:-missing])

        async def client(address: str) -> None:
            store = StoreClient(address)
            with pytest.raises(LogUnavailable):
                await store.read("keyed.hosts", 0, 0)
            await store.close()

        serve(handler, client)


MALFORMED_ROWS: list[object] = [
    [[1, 2]],
    [["a.0.0.0"]],
    [["a.0.0.0", "x"]],
    [["a.0.0", 1]],
    [["a.0.x.0", 1]],
    [[None, 1]],
    [[["a"], 1]],
    ["a.0.0.0"],
    [[]],
]


class TestMalformedAnswers:
    """Fault (f): a malformed answer of the worker ended the loop that polls it."""

    @pytest.mark.parametrize("field", ["running", "finished"])
    @pytest.mark.parametrize("rows", MALFORMED_ROWS, ids=str)
    def test_malformed_rows_count_as_no_answer(self, field: str, rows: list[object]) -> None:
        if field == "finished":
            rows = [[1, *row, "done"] if isinstance(row, list) else row for row in rows]
        answer = {"clock_ms": 1.0, field: rows}

        async def handler(request: web.Request) -> web.Response:
            return web.json_response(answer)

        serve(handler, self.poll)

    @pytest.mark.parametrize("row", [["1", "a.0.0.0", 1, "done"], [1, "a.0.0.0", 1, ["done"]]])
    def test_malformed_position_or_reason_counts_as_no_answer(self, row: list[object]) -> None:
        async def handler(request: web.Request) -> web.Response:
            return web.json_response({"clock_ms": 1.0, "finished": [row]})

        serve(handler, self.poll)

    @staticmethod
    async def poll(address: str) -> None:
        control = HttpWorkerControl(address)
        with pytest.raises(WorkerSilent):
            await control.poll(
                "i-1", 7, acknowledged_end=0, lease_until_ms=None, wait_ms=0.0, timeout_ms=1000.0
            )
        await control.close()


class TestMalformedAddresses:
    """Fault (f): an address that cannot be parsed ended the task that keeps the link open."""

    @pytest.mark.parametrize("address", ["a:99999999", "[a:1", "a" * 80 + ".b:1", "a:-1", "", "::"])
    def test_malformed_address_is_a_link_error(self, address: str) -> None:
        async def connect() -> None:
            clock = create_clock()
            network = create_network("", HybridClock(clock), MetricsRegistry())
            with pytest.raises(LinkError):
                await network.connect(address, Hello(Role.ENTRY, "a", "a.1"))

        asyncio.run(connect())
