"""Tests of the platform adapter's formats and HTTP clients, against local servers."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import cast

import aiohttp
import msgspec
import pytest
from aiohttp import web

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.entry import DirectEntry
from currantbarrow.direct.model import Resources, WorkQueue
from currantbarrow.direct.routing import Configuration
from currantbarrow.direct.standings import CancelOutcome
from currantbarrow.direct.worker import Announcement, RunName, RunSpec, StartVerdict
from currantbarrow.exceptions import (
    AppendUnknown,
    ConfigurationError,
    JobInvalid,
    LogUnavailable,
    RecordsExpired,
    SettingsError,
    WorkerReplaced,
    WorkerSilent,
    WorkerUnreached,
)
from currantbarrow.observe import MetricsRegistry
from currantbarrow.platform.callers import CallersApi
from currantbarrow.platform.configuration import parse_configuration
from currantbarrow.platform.jobs import MAX_TASKS, parse_job
from currantbarrow.platform.settings import load_process_settings
from currantbarrow.platform.store import KeyedRecord, StoreClient
from currantbarrow.platform.topics import TopicAnnouncementStore
from currantbarrow.platform.worker import HttpWorkerControl
from currantbarrow.protocol.direct import RunEnd
from soak.store import MemoryStore

SOURCE = Path(__file__).parent.parent / "src" / "currantbarrow"
JOB = "0123456789abcdef"
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
# Terms of the platform's interface that must not appear in any other package.
PLATFORM_TERMS = (
    r"run-start",
    r"run-stop",
    r"log-append",
    r"log-newest",
    r"log-read",
    r"heartbeat_addr",
    r"best_effort",
    r"fencing_token",
    r"X-Expected-Instance",
    r"X-Deadline-Ms",
    r"listen_addrs",
    r"internal_port_range",
    r"mem_mb",
    r"/currantbarrow/",
)


def serve(handler: Handler, client: Callable[[str], Awaitable[None]]) -> None:
    """Run a client against a loopback server that answers every request with one handler."""

    async def run() -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        await client(f"{host}:{port}")
        await runner.cleanup()

    asyncio.run(run())


class TestBoundary:
    @pytest.mark.parametrize("term", PLATFORM_TERMS)
    def test_platform_terms_are_confined_to_the_adapter(self, term: str) -> None:
        for path in SOURCE.rglob("*.py"):
            if path.relative_to(SOURCE).parts[0] != "platform":
                assert not re.search(term, path.read_text()), path

    def test_no_other_package_imports_the_adapter(self) -> None:
        for path in SOURCE.rglob("*.py"):
            if path.relative_to(SOURCE).parts[0] != "platform":
                assert "currantbarrow.platform" not in path.read_text(), path


class TestSettings:
    def test_settings_are_loaded(self, tmp_path: Path) -> None:
        path = tmp_path / "boot.json"
        path.write_bytes(
            msgspec.json.encode(
                {
                    "node_name": "side-1",
                    "ip": "10.0.0.1",
                    "zone": "one",
                    "listen_addrs": {"control": "10.0.0.1:8166"},
                    "internal_port_range": [7720, 7735],
                    "seeds": ["10.0.0.9:8166"],
                    "platform": {"address": "10.0.0.7:1"},
                    "app": "10.0.0.1:8165",
                    "bounds": {"max_hold_ms": 900, "grace_s": 5, "far_factor": 2},
                    "unknown": {"field": 1},
                }
            )
        )
        settings = load_process_settings(str(path))
        assert settings.far_factor == 2.0
        assert settings.link_address == "10.0.0.1:7720"
        assert settings.seed_link_addresses == ("10.0.0.9:7720",)
        assert settings.worker_lease_ms == 900
        assert settings.grace_ms == 5000
        assert not settings.evacuations

    @pytest.mark.parametrize(
        ("policies", "enabled"),
        [
            (["places"], True),
            ({"places": {}}, True),
            (["other"], False),
            ({}, False),
            (None, False),
            ("replaces", False),
            (3, False),
        ],
    )
    def test_policy_enables_evacuations(
        self, tmp_path: Path, policies: object, enabled: bool
    ) -> None:
        path = tmp_path / "boot.json"
        path.write_bytes(
            msgspec.json.encode(
                {
                    "node_name": "entry-1",
                    "ip": "10.0.0.1",
                    "zone": "one",
                    "listen_addrs": {},
                    "internal_port_range": [7720, 7735],
                    "platform": {"address": "10.0.0.7:1"},
                    "policies": policies,
                }
            )
        )
        assert load_process_settings(str(path)).evacuations is enabled

    @pytest.mark.parametrize("text", ["", "{}", "[1]", '{"node_name": 3}'])
    def test_unreadable_settings_are_an_error(self, tmp_path: Path, text: str) -> None:
        path = tmp_path / "boot.json"
        path.write_text(text)
        with pytest.raises(SettingsError):
            load_process_settings(str(path))

    def test_missing_settings_are_an_error(self, tmp_path: Path) -> None:
        with pytest.raises(SettingsError):
            load_process_settings(str(tmp_path / "none.json"))


class TestDeployScript:
    def test_reload_signal_during_import_does_not_end_the_program(self, tmp_path: Path) -> None:
        deploy = SOURCE.parent.parent / "deploy" / "currantbarrow.py"
        script = tmp_path / "deploy" / deploy.name
        script.parent.mkdir()
        script.write_text(deploy.read_text())
        package = tmp_path / "target" / "app" / "currantbarrow" / "platform"
        package.mkdir(parents=True)
        for folder in (package.parent, package):
            (folder / "__init__.py").touch()
        (package / "programs.py").write_text(
            "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\ndef main(): return 7\n"
        )
        assert subprocess.run([sys.executable, str(script), "entry"], check=False).returncode == 7


class TestConfiguration:
    def test_routes_become_queues(self) -> None:
        document = msgspec.json.encode(
            {
                "version": 7,
                "routes": [
                    {
                        "name": "r",
                        "host": "h.example",
                        "path_prefix": "/p/",
                        "service": "s",
                        "target_latency_ms": 60,
                        "stretch": 1.6,
                        "max_attempts": 2,
                        "priority": 1,
                        "type": "unsafe",
                    },
                    {"name": "idle", "host": "h.example", "path_prefix": "/q/"},
                ],
                "services": [{"name": "s", "tls": False}],
            }
        )
        configured = parse_configuration(document)
        queue = configured.find("h.example", "/p/x")
        assert configured.version == 7
        assert queue is not None
        assert (queue.target_ms, queue.stretch, queue.max_attempts) == (60, 1.6, 2)

    @pytest.mark.parametrize("document", [b"", b"\xff\x00", b"[]", b'{"version": "x"}', b"{}"])
    def test_unreadable_document_is_an_error(self, document: bytes) -> None:
        with pytest.raises(ConfigurationError):
            parse_configuration(document)


class TestJobs:
    def make(self, **fields: object) -> bytes:
        body = {"spec": "s", "phases": [{"count": 2, "cpu": 500}], "best_effort": True, **fields}
        return msgspec.json.encode(body)

    def test_job_is_parsed(self) -> None:
        spec = parse_job(JOB, self.make())
        assert spec.steps[0].count == 2
        assert spec.steps[0].resources == Resources(500, 0, 0)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"no json",
            b"[]",
            b"{}",
            b'{"spec": 1, "phases": []}',
            b'{"spec": "s", "phases": [{"count": "x"}]}',
        ],
    )
    def test_unreadable_body_is_an_error(self, body: bytes) -> None:
        with pytest.raises(JobInvalid):
            parse_job(JOB, body)

    @pytest.mark.parametrize("job", ["", "xyz", "0123456789ABCDEF", "0" * 15, "0" * 17])
    def test_malformed_id_is_an_error(self, job: str) -> None:
        with pytest.raises(JobInvalid) as raised:
            parse_job(job, self.make())
        assert raised.value.field == "id"

    @pytest.mark.parametrize(
        "fields",
        [
            {"best_effort": False},
            {"long_running": True},
            {"repeats": 2},
            {"phases": [{"count": 2, "gang": True}]},
            {"phases": [{"count": 2, "fills": True}]},
        ],
    )
    def test_unsupported_feature_has_its_own_error_code(self, fields: dict[str, object]) -> None:
        with pytest.raises(JobInvalid) as raised:
            parse_job(JOB, self.make(**fields))
        assert raised.value.code == "unsupported"

    def test_locality_of_a_step_is_parsed(self) -> None:
        phase = {"count": 2, "affinity": "r1-3", "anti_affinity": 1, "rack_local": True}
        step = parse_job(JOB, self.make(phases=[phase])).steps[0]
        assert (step.affinity, step.max_per_worker, step.same_rack) == ("r1-3", 1, True)

    def test_step_without_locality_has_no_constraint(self) -> None:
        for phase in ({"count": 2}, {"count": 2, "affinity": None, "rack_local": None}):
            step = parse_job(JOB, self.make(phases=[phase])).steps[0]
            assert (step.affinity, step.max_per_worker, step.same_rack) == ("", 0, False)

    def test_negative_limit_on_a_worker_is_an_error(self) -> None:
        with pytest.raises(JobInvalid) as raised:
            parse_job(JOB, self.make(phases=[{"count": 2, "anti_affinity": -1}]))
        assert raised.value.code == "job_invalid"

    @pytest.mark.parametrize(
        "phase",
        [
            {"count": 10**9},
            {"count": 1, "estimate_ms": 1e308},
            {"count": 1, "estimate_ms": -1.0},
            {"count": 1, "cpu": -1},
        ],
    )
    def test_job_that_would_bring_an_entry_down_is_an_error(self, phase: dict[str, float]) -> None:
        with pytest.raises(JobInvalid) as raised:
            parse_job(JOB, self.make(phases=[phase]))
        assert raised.value.code == "job_invalid"

    def test_tasks_of_all_steps_count_for_the_limit_of_a_job(self) -> None:
        half = {"count": MAX_TASKS // 2}
        assert len(parse_job(JOB, self.make(phases=[half, half])).steps) == 2
        with pytest.raises(JobInvalid):
            parse_job(JOB, self.make(phases=[half, half, {"count": 1}]))

    def test_deeply_nested_job_is_an_error(self) -> None:
        body = b'{"spec":"x","phases":[{"count":1}],"more":' + b"[" * 100_000 + b"]" * 100_000
        with pytest.raises(JobInvalid):
            parse_job(JOB, body + b"}")

    def test_step_after_itself_is_an_error(self) -> None:
        with pytest.raises(JobInvalid):
            parse_job(JOB, self.make(phases=[{"count": 1, "after": [0]}]))

    def test_payload_limit_is_inclusive(self) -> None:
        assert parse_job(JOB, self.make(spec="x" * 4000)).payload == "x" * 4000
        with pytest.raises(JobInvalid):
            parse_job(JOB, self.make(spec="x" * 4001))


class RefusingEntry:
    """Stand in for an entry that refuses every job."""

    draining = False

    def __init__(self, refusal: Refusal) -> None:
        self._refusal = refusal
        queue = WorkQueue("r", "127.0.0.1", "/p/", "s", 0, 60.0, 1.6, 2, 0.0)
        self.current_configuration = Configuration(1, [queue], frozenset({"s"}), 1 << 18, b"")

    async def submit(self, *_: object) -> Refusal:
        return self._refusal


class TestCallers:
    @pytest.mark.parametrize(("may_have_run", "status"), [(False, 503), (True, 502)])
    def test_refusal_says_that_a_job_did_not_run_only_if_that_is_certain(
        self, may_have_run: bool, status: int
    ) -> None:
        refusal = Refusal("overload", 3, 100.0, may_have_run=may_have_run)
        api = CallersApi(cast(DirectEntry, RefusingEntry(refusal)), MetricsRegistry())

        async def client(address: str) -> None:
            body = {"spec": "s", "phases": [{"count": 1, "cpu": 500}], "best_effort": True}
            async with (
                aiohttp.ClientSession() as session,
                session.post(f"http://{address}/p/{JOB}", json=body) as answer,
            ):
                assert answer.status == status
                assert answer.headers["Retry-After"] == "3"

        serve(api.handle, client)


class CancellingEntry:
    """Stand in for an entry that returns the same outcome for every cancelling."""

    def __init__(self, outcome: CancelOutcome) -> None:
        self._outcome = outcome
        self.draining = False
        self.cancelled: list[str] = []
        queue = WorkQueue("r", "127.0.0.1", "/p/", "s", 0, 60.0, 1.6, 2, 0.0)
        self.current_configuration = Configuration(1, [queue], frozenset({"s"}), 1 << 18, b"")

    async def cancel(self, job_id: str) -> CancelOutcome:
        self.cancelled.append(job_id)
        return self._outcome


class TestCancelling:
    @pytest.mark.parametrize(
        ("outcome", "status"),
        [
            (CancelOutcome.CANCELLED, 200),
            (CancelOutcome.UNKNOWN, 410),
            (CancelOutcome.UNCONFIRMED, 504),
        ],
    )
    def test_is_acknowledged_only_if_it_holds(self, outcome: CancelOutcome, status: int) -> None:
        entry = CancellingEntry(outcome)
        api = CallersApi(cast(DirectEntry, entry), MetricsRegistry())

        async def client(address: str) -> None:
            async with aiohttp.ClientSession() as session:
                async with session.delete(f"http://{address}/p/{JOB}") as answer:
                    assert answer.status == status
                # An id that no job can have is not remembered.
                async with session.delete(f"http://{address}/p/{'x' * 4000}") as answer:
                    assert answer.status == 410

        serve(api.handle, client)
        assert entry.cancelled == [JOB]


class TestWorkerControl:
    @staticmethod
    def answer(status: int, body: object) -> Handler:
        async def handler(request: web.Request) -> web.Response:
            return web.Response(status=status, body=msgspec.json.encode(body))

        return handler

    @pytest.mark.parametrize(
        ("status", "body", "verdict"),
        [
            (200, {"clock_ms": 5}, StartVerdict.STARTED),
            (409, {"clock_ms": 5, "reason": "fence"}, StartVerdict.FENCED),
            (409, {"clock_ms": 5, "reason": "old"}, StartVerdict.OUTDATED),
            (409, {"clock_ms": 5, "reason": "late"}, StartVerdict.LEASE_EXPIRED),
            (409, {"clock_ms": 5, "reason": "room"}, StartVerdict.INSUFFICIENT_RESOURCES),
            (400, {}, StartVerdict.INVALID),
            (503, {}, StartVerdict.UNHEALTHY),
        ],
    )
    def test_start_response_is_mapped_to_a_verdict(
        self, status: int, body: object, verdict: StartVerdict
    ) -> None:
        async def client(address: str) -> None:
            control = HttpWorkerControl(address)
            run = RunSpec(RunName(JOB, 0, 3, 2), "spec")
            answer = await control.start("i-1", run, 1000.0, 7, 1000.0)
            assert answer.verdict is verdict
            await control.close()

        serve(self.answer(status, body), client)

    def test_poll_response_is_parsed(self) -> None:
        body = {
            "clock_ms": 9,
            "running": [[f"{JOB}.0.1.2", 3, "", 100]],
            "finished": [[4, f"{JOB}.0.0.1", 1, "done", ""], [5, f"{JOB}.0.0.2", 1, "new", ""]],
        }

        async def client(address: str) -> None:
            control = HttpWorkerControl(address)
            lists = await control.poll(
                "i-1", 7, acknowledged_end=3, lease_until_ms=100.0, wait_ms=10.0, timeout_ms=1000.0
            )
            assert lists is not None
            assert lists.running == [RunName(JOB, 1, 2, 3)]
            assert [end.end for end in lists.ends] == [RunEnd.DONE, RunEnd.LOST]
            await control.close()

        serve(self.answer(200, body), client)

    @pytest.mark.parametrize("body", [[], {"clock_ms": "x"}, {"clock_ms": 1, "running": [["a"]]}])
    def test_malformed_poll_response_counts_as_no_answer(self, body: object) -> None:
        async def client(address: str) -> None:
            control = HttpWorkerControl(address)
            with pytest.raises(WorkerSilent):
                await control.poll(
                    "i-1",
                    7,
                    acknowledged_end=0,
                    lease_until_ms=None,
                    wait_ms=0.0,
                    timeout_ms=1000.0,
                )
            await control.close()

        serve(self.answer(200, body), client)

    def test_response_of_another_instance_raises_worker_replaced(self) -> None:
        async def client(address: str) -> None:
            control = HttpWorkerControl(address)
            with pytest.raises(WorkerReplaced):
                await control.stop("i-1", RunName(JOB, 0, 0, 1), 7, 1000.0)
            await control.close()

        serve(self.answer(421, {}), client)

    def test_failed_connection_and_missing_answer_raise_different_errors(self) -> None:
        async def silent(request: web.Request) -> web.Response:
            await asyncio.sleep(0.5)
            return web.Response()

        async def client(address: str) -> None:
            control = HttpWorkerControl(address)
            with pytest.raises(WorkerSilent):
                await control.stop("i-1", RunName(JOB, 0, 0, 1), 7, 50.0)
            await control.close()
            unreached = HttpWorkerControl("127.0.0.1:1")
            with pytest.raises(WorkerUnreached):
                await unreached.stop("i-1", RunName(JOB, 0, 0, 1), 7, 50.0)
            await unreached.close()

        serve(silent, client)


class TestStore:
    def test_keyed_records_are_read_back(self) -> None:
        memory = MemoryStore()

        async def client(address: str) -> None:
            store = StoreClient(address)
            await store.append_keyed("keyed.t", KeyedRecord("a", b"1"))
            await store.append_keyed("keyed.t", KeyedRecord("a", b"2"))
            newest = await store.newest("keyed.t")
            assert newest.records == [KeyedRecord("a", b"2")]
            assert newest.end == 2
            page = await store.read_keyed("keyed.t", 1, 0)
            assert page.records == [KeyedRecord("a", b"2")]
            assert page.end == 2
            await store.close()

        serve(memory.handle, client)

    def test_read_of_expired_records_raises_records_expired(self) -> None:
        memory = MemoryStore()
        memory.topic("t").first_offset = 5

        async def client(address: str) -> None:
            store = StoreClient(address)
            with pytest.raises(RecordsExpired) as raised:
                await store.read("t", 1, 0)
            assert raised.value.first_offset == 5
            await store.close()

        serve(memory.handle, client)

    def test_refused_append_and_unanswered_append_raise_different_errors(self) -> None:
        memory = MemoryStore()

        async def client(address: str) -> None:
            store = StoreClient(address)
            memory.status = 503
            with pytest.raises(LogUnavailable):
                await store.append("t", b"x")
            memory.status, memory.answers_late = 200, True
            with pytest.raises(AppendUnknown):
                await store.append("t", b"x")
            await store.close()

        serve(memory.handle, client)

    def test_announcement_is_stored_for_the_next_incarnation_of_a_side_process(self) -> None:
        memory = MemoryStore()
        announcement = Announcement("i-1", "s", Resources(1000, 10, 0), frozenset({"a"}), False, 3)

        async def client(address: str) -> None:
            store = StoreClient(address)
            announcements = TopicAnnouncementStore("side-1", store, MetricsRegistry())
            assert await announcements.load() is None
            assert await announcements.save(announcement, 1000.0)
            assert await announcements.load() == announcement
            memory.append("keyed.workers", b"\x06side-1not json")
            assert await announcements.load() is None
            memory.status = 503
            assert await announcements.load() is None
            assert not await announcements.save(announcement, 1000.0)
            await store.close()

        serve(memory.handle, client)
