"""Start the programs, their workers and the store, each on a loopback address of its own."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import os
import random
import shutil
import signal
import socket
import sys
import time
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from soak.load import ProcessLoad
from soak.oracle import CheckedRunRecorder, Oracle
from soak.overlay import Overlay
from soak.proxy import RemoteForwarder
from soak.site import RunEvent, Site
from soak.store import MemoryStore
from soak.worker import SERVICE, RemoteWorker

__all__ = ["Fleet", "Host", "Plan"]

ROOT = Path(__file__).parent.parent.parent
# The platform starts this script; the script looks for the build in ../target/app.
SCRIPT = ROOT / "deploy" / "currantbarrow.py"
BUILD_LINK = Path("target") / "app"
GRACE_S = 6.0
RESTART_S = 0.3
SHUTDOWN_TIMEOUT_S = 0.1
LINK_PORT, CALLERS_PORT, CONTROL_PORT, READY_PORT = 7720, 8161, 8166, 8167
STORE_PORT, WORKER_PORT = 7000, 8080
ENTRY_MEMORY_MB, SIDE_MEMORY_MB = 300, 168
ENTRY_DESCRIPTORS, SIDE_DESCRIPTORS = 4100, 4096
HOST_NAME = "jobs.example"
QUEUES = ("/quick", "/slow")
LONG_QUEUE = "/long"
ROLES = {True: "entry", False: "side"}
# Values of the user documentation.
BOUNDS = {"drain_ms": 2000, "grace_s": GRACE_S, "max_hold_ms": 1000}
LOOPBACK_NETWORKS = range(65, 127)
# Sites of the forwarders of all hosts; a worker shares a site with the forwarder to it. No site
# uses a large part of a processor: beside other load it would wait for its turn, and answer late.
LINKS_SITE, REQUESTS_SITE = "links", "requests"
# Each site of a worker has a second worker, without faults and tasks, to measure its answers.
REFERENCE = "reference"
REFERENCE_OFFSET = 100


class Plan(msgspec.Struct, frozen=True):
    """Seed and size of a run."""

    seed: int
    seconds: float = 20.0
    entries: int = 3
    sides: int = 6
    jobs_per_s: float = 15.0
    # Draw from the faults and jobs without late commands, for seeds kept from before these.
    former_kinds: bool = False
    # Let tasks crash their workers, and capacities shrink.
    crashes: bool = False
    # Stop processes in turn while jobs are so long that callers take them to another entry.
    moves: bool = False
    # Limits of each process, if others than those of the machines.
    memory_mb: int = 0
    descriptors: int = 0


class Host:
    """One process of the system, with the forwarders of its connections."""

    def __init__(
        self,
        name: str,
        number: int,
        is_entry: bool,
        network: str,
        folder: Path,
        sites: dict[str, Site],
    ) -> None:
        self.name = name
        self.number = number
        self.is_entry = is_entry
        self.process: asyncio.subprocess.Process | None = None
        # The run has ended the process and not started it again yet.
        self.down = False
        # Number of pauses in effect: pauses may overlap, and all have to end.
        self.pauses = 0
        self.stop_requested = False
        # Whether the process handled SIGTERM when it was sent.
        self.could_drain = False
        self.starts = 0
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.json"
        self.listen_ip = f"{network}.1.{number}"
        self.advertised_ip = f"{network}.2.{number}"
        # Other processes and callers connect through these forwarders.
        self.links = RemoteForwarder(
            sites[LINKS_SITE],
            f"{name} links",
            f"{self.advertised_ip}:{LINK_PORT}",
            f"{self.listen_ip}:{LINK_PORT}",
        )
        self.store = RemoteForwarder(
            sites[REQUESTS_SITE],
            f"{name} store",
            f"{network}.4.{number}:{STORE_PORT}",
            f"{network}.3.1:{STORE_PORT}",
        )
        self.callers = RemoteForwarder(
            sites[REQUESTS_SITE],
            f"{name} callers",
            f"{network}.7.{number}:{CALLERS_PORT}",
            f"{self.listen_ip}:{CALLERS_PORT}",
        )
        self.worker_address = f"{network}.5.{number}:{WORKER_PORT}"
        self.reference_address = f"{network}.5.{number + REFERENCE_OFFSET}:{WORKER_PORT}"
        worker_site = sites[LINKS_SITE if is_entry else name]
        self.worker, self.reference = (
            RemoteForwarder(
                worker_site, f"{name} {label}", f"{network}.6.{end}:{WORKER_PORT}", address
            )
            for label, end, address in (
                ("worker", number, self.worker_address),
                (REFERENCE, number + REFERENCE_OFFSET, self.reference_address),
            )
        )

    @property
    def forwarders(self) -> list[RemoteForwarder]:
        """Return the forwarders of all connections from and to this process."""
        return [self.links, self.store, self.callers if self.is_entry else self.worker]

    @property
    def callers_url(self) -> str:
        """Return the URL of an entry through its forwarder."""
        return f"http://{self.callers.address}"

    @property
    def direct_url(self) -> str:
        """Return the URL of an entry without the forwarder."""
        return f"http://{self.listen_ip}:{CALLERS_PORT}"

    @property
    def ready_url(self) -> str:
        """Return the URL of an entry's readiness check."""
        return f"http://{self.listen_ip}:{READY_PORT}/currantbarrow/readiness"

    @property
    def announce_address(self) -> str:
        """Return the address that the worker announces itself to."""
        return f"{self.listen_ip}:{CONTROL_PORT}"


class Fleet:
    """Entries, side processes, their workers and the store of a run."""

    def __init__(self, plan: Plan, oracle: Oracle, folder: Path, rng: random.Random) -> None:
        self.plan = plan
        self.oracle = oracle
        self.overlay = Overlay()
        self.runs = CheckedRunRecorder(oracle)
        self.store = MemoryStore()
        self.version = 0
        self.hosts: list[Host] = []
        # Events of runs that are not replayed yet, as sites report them.
        self._run_events: list[RunEvent] = []
        self._replayed_until_s = 0.0
        self._receiving = asyncio.Lock()
        self.sites = {
            name: Site(name, self._run_events.append) for name in (LINKS_SITE, REQUESTS_SITE)
        }
        self.workers: dict[str, RemoteWorker] = {}
        self._network_lock, network = _reserve_network()
        self._network = network
        self._script = folder / "deploy" / SCRIPT.name
        self._script.parent.mkdir()
        shutil.copy(SCRIPT, self._script)
        (folder / BUILD_LINK.parent).mkdir()
        (folder / BUILD_LINK).symlink_to(ROOT / "src")
        self._rng = rng
        self._folder = folder
        self._runners: list[web.AppRunner] = []
        self._watch_tasks: set[asyncio.Task[None]] = set()
        self._stopping = False
        for number in range(1, plan.entries + plan.sides + 1):
            is_entry = number <= plan.entries
            name = f"{ROLES[is_entry]}-{number}"
            if not is_entry:
                self.sites[name] = Site(name, self._run_events.append)
            self.hosts.append(Host(name, number, is_entry, network, folder, self.sites))

    @property
    def entries(self) -> list[Host]:
        """Return the hosts of entries."""
        return [host for host in self.hosts if host.is_entry]

    @property
    def sides(self) -> list[Host]:
        """Return the hosts of side processes."""
        return [host for host in self.hosts if not host.is_entry]

    async def start(self) -> None:
        """Start all servers and processes, and wait until all entries are ready."""
        for site in self.sites.values():
            await site.start(self._folder / f"site-{site.name}.log")
        await self._serve(self.store.handle, f"{self._network}.3.1", STORE_PORT)
        self.configure()
        for host in self.hosts:
            for forwarder in host.forwarders:
                await forwarder.start()
            if not host.is_entry:
                await self._start_worker(host)
            host.settings_path.write_bytes(msgspec.json.encode(self._settings(host)))
            await self.start_process(host)
        await self.wait_ready()

    async def stop(self) -> None:
        """Stop all processes and servers."""
        self._stopping = True
        for host in self.hosts:
            self.kill(host)
        for task in list(self._watch_tasks):
            await task
        for site in self.sites.values():
            await site.stop()
        for runner in self._runners:
            await runner.cleanup()
        self._network_lock.close()

    def configure(self) -> int:
        """Publish a new configuration, and return its version."""
        self.version += self._rng.randint(1, 9)
        routes = [self._route(prefix) for prefix in QUEUES]
        if not self.plan.former_kinds:
            routes.append(self._route(LONG_QUEUE))
        # A route that only this version has, so that a call shows which version is in force.
        routes.append(self._route(f"/v{self.version}"))
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE}],
            "limits": {},
        }
        self.store.append("keyed.op", b"\x06config" + msgspec.json.encode(document))
        return self.version

    async def start_process(self, host: Host) -> None:
        """Start a process, and restart it whenever it exits."""
        with host.log_path.open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self._script),
                ROLES[host.is_entry],
                env={**os.environ, "CURRANTBARROW_SETTINGS": str(host.settings_path)},
                stdout=log,
                stderr=log,
            )
        host.starts += 1
        host.down = False
        host.stop_requested = False
        task = asyncio.create_task(self._restart_after_exit(host, host.process))
        self._watch_tasks.add(task)
        task.add_done_callback(self._watch_tasks.discard)

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        if host.process is not None and host.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                host.process.send_signal(number)

    def pause(self, host: Host) -> None:
        """Suspend a process."""
        host.pauses += 1
        self.signal(host, signal.SIGSTOP)

    def end_pause(self, host: Host) -> None:
        """End a pause, and resume the process unless another pause of it lasts."""
        host.pauses -= 1
        if not host.pauses:
            self.signal(host, signal.SIGCONT)

    def kill(self, host: Host) -> None:
        """Send SIGKILL to a process."""
        host.down = True
        self.signal(host, signal.SIGKILL)

    def terminate(self, host: Host) -> None:
        """Send SIGTERM to a process."""
        host.down = True
        host.stop_requested = True
        host.could_drain = self.handles_signal(host, signal.SIGTERM)
        self.signal(host, signal.SIGTERM)

    def handles_signal(self, host: Host, number: int) -> bool:
        """Return whether a process handles or ignores a signal, as it does once it has started."""
        # A process may be suspended during its start, so the time since then does not tell.
        masks = (self._read_status(host, field) for field in ("SigCgt", "SigIgn"))
        return any(int(mask or "0", 16) >> (number - 1) & 1 for mask in masks)

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until all entries are ready, and report a violation at the time-out."""
        deadline_s = self.oracle.now_s() + timeout_s
        async with aiohttp.ClientSession() as session:
            while not all([await _is_ready(session, host) for host in self.entries]):
                if self.oracle.now_s() > deadline_s:
                    self.oracle.report_violation(
                        "ready", f"not all entries are ready after {timeout_s:.0f} s"
                    )
                    return
                await asyncio.sleep(0.1)

    async def receive_run_events(self) -> None:
        """Replay all starts and ends of runs before this call, in the order of their times."""
        called_s = time.monotonic()
        async with self._receiving:
            if self._replayed_until_s > called_s:
                return
            until_s = time.monotonic()
            await asyncio.gather(*(site.call("", "ping") for site in self.sites.values()))
            self._run_events.sort(key=lambda event: event.at_s)
            count = bisect.bisect(self._run_events, until_s, key=lambda event: event.at_s)
            for event in self._run_events[:count]:
                self.runs.replay(event)
            del self._run_events[:count]
            self._replayed_until_s = until_s

    def let_task_crash(self, job: str, crash_ms: float) -> None:
        """Let the first task of a job crash each worker some time after its start."""
        for host in self.sides:
            self.sites[host.name].post("", "let_task_crash", job=job, crash_ms=crash_ms)

    async def over_capacity(self) -> list[str]:
        """Return the workers that ran more than they have room for."""
        lists = [await site.call("", "over_capacity") for site in self.sites.values()]
        return [name for names in lists for name in names]

    async def take_loads(self) -> list[ProcessLoad]:
        """Return the loads of the sites since the last call."""
        replies = [await site.call("load", "take") for site in self.sites.values()]
        return [msgspec.convert(reply, ProcessLoad) for reply in replies]

    async def poll_reference(self, session: aiohttp.ClientSession, host: Host) -> None:
        """Send a poll to the worker without faults beside a worker, and wait for the answer."""
        async with session.post(
            f"http://{host.reference.address}/currantbarrow/hold",
            json={},
            headers={"X-Expected-Instance": f"{REFERENCE}.1"},
        ) as answer:
            await answer.read()

    def memory_mb(self, host: Host) -> float:
        """Return the resident memory of a process, or 0 if it has exited."""
        resident = self._read_status(host, "VmRSS")
        return int(resident.split()[0]) / 1024 if resident else 0.0

    @staticmethod
    def _read_status(host: Host, field: str) -> str:
        """Return a field of a process's status, or an empty string if it has exited."""
        assert host.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{host.process.pid}/status").read_text().splitlines():
                if line.startswith(f"{field}:"):
                    return line.partition(":")[2].strip()
        return ""

    async def _restart_after_exit(self, host: Host, process: asyncio.subprocess.Process) -> None:
        """Restart a process when it has exited, as the platform does, and check its exit code."""
        code = await process.wait()
        if self._stopping or host.process is not process:
            return
        if not host.down:
            self.oracle.report_violation("no end of its own", f"{host.name} exited with {code}")
        elif host.stop_requested and code not in _expected_codes(host):
            self.oracle.report_violation(
                "ends well", f"{host.name} exited with {code} after SIGTERM"
            )
        host.down = True
        await asyncio.sleep(RESTART_S)
        if not self._stopping:
            await self.start_process(host)

    async def _start_worker(self, host: Host) -> None:
        site = self.sites[host.name]
        await host.reference.start()
        await RemoteWorker(site, REFERENCE).start(host.reference_address)
        worker = self.workers[host.name] = RemoteWorker(site, f"worker-{host.number}")
        await worker.start(
            host.worker_address,
            host.announce_address,
            clock_rate=self._rng.choice((0.98, 1.0, 1.02)),
            clock_start_ms=self._rng.uniform(0, 1e7),
            # Workers of earlier versions send no birth.
            born_ms=0 if self.plan.former_kinds else int(time.time() * 1000),
        )

    async def _serve(self, handler: object, ip: str, port: int) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)  # type: ignore[arg-type]
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._listen(runner, ip, port)

    async def _listen(self, runner: web.AppRunner, ip: str, port: int) -> None:
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        self._runners.append(runner)

    def _route(self, prefix: str) -> dict[str, object]:
        return {
            "name": prefix.strip("/"),
            "host": HOST_NAME,
            "path_prefix": f"{prefix}/",
            "service": SERVICE,
            "priority": QUEUES.index(prefix) if prefix in QUEUES else 2,
            "max_attempts": self.oracle.max_attempts,
            "stretch": 1.6,
            "target_latency_ms": 60 + self.version % 7,
        }

    def limits(self, host: Host) -> tuple[int, int]:
        """Return the memory in megabytes and the descriptors that a process may use."""
        memory_mb, descriptors = (
            (ENTRY_MEMORY_MB, ENTRY_DESCRIPTORS)
            if host.is_entry
            else (SIDE_MEMORY_MB, SIDE_DESCRIPTORS)
        )
        return self.plan.memory_mb or memory_mb, self.plan.descriptors or descriptors

    def _settings(self, host: Host) -> dict[str, object]:
        seeds = [f"{entry.advertised_ip}:{CONTROL_PORT}" for entry in self.entries[:3]]
        memory_mb, descriptors = self.limits(host)
        return {
            "node_name": host.name,
            "ip": host.advertised_ip,
            "zone": "one",
            "listen_addrs": {
                "frontend": f"{host.listen_ip}:{CALLERS_PORT}",
                "readiness": f"{host.listen_ip}:{READY_PORT}",
                "control": f"{host.listen_ip}:{CONTROL_PORT}",
            },
            "internal_port_range": [LINK_PORT, LINK_PORT + 15],
            "link_listener": f"{host.listen_ip}:{LINK_PORT}",
            "platform": {"address": host.store.address},
            "bounds": BOUNDS,
            "limits": {"memory_mb": memory_mb, "max_fds": descriptors},
            "seeds": seeds,
            "app": host.worker.address,
            "service": SERVICE,
        }


def _expected_codes(host: Host) -> tuple[int, ...]:
    """Return the allowed exit codes of a process that was sent SIGTERM."""
    if not host.could_drain:
        # A process that is still starting has nothing to drain, so SIGTERM itself may end it.
        return (0, -signal.SIGKILL, -signal.SIGTERM)
    return (0, -signal.SIGKILL)


def _reserve_network() -> tuple[socket.socket, str]:
    """Return a loopback network that no other run uses, and the socket that reserves it."""
    for number in LOOPBACK_NETWORKS:
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"127.{number}.0.1", STORE_PORT))
            lock.listen()
        except OSError:
            lock.close()
            continue
        return lock, f"127.{number}"
    raise RuntimeError(
        f"no free loopback network in 127.{LOOPBACK_NETWORKS[0]} to 127.{LOOPBACK_NETWORKS[-1]}"
    )


async def _is_ready(session: aiohttp.ClientSession, host: Host) -> bool:
    try:
        async with session.get(host.ready_url, timeout=aiohttp.ClientTimeout(total=1.0)) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
