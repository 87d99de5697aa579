"""Run the programs as separate processes, and kill only those that were started."""

from __future__ import annotations

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import sys
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"
PROGRAMS = {
    "log": "currantbarrow.standins.log_main",
    "side": "currantbarrow.side.main",
    "worker": "currantbarrow.standins.worker_main",
    "entry": "currantbarrow.entry.main",
}
EXIT_TIMEOUT_S = 10
LOCALHOST = "127.0.0.1"
# Below the ephemeral port range, since a connection could take a free port of that range.
FIRST_PORT, LAST_PORT = 12_000, 32_000
BLOCK_PORTS = 128
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")


class Processes:
    """Run the processes of an example on free ports, one for each settings file."""

    def __init__(self, user: str, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, asyncio.subprocess.Process] = {}
        shutil.copytree(EXAMPLES / user, folder, dirs_exist_ok=True)
        self._ports = self._move_to_free_ports()

    async def start_all(self) -> None:
        """Start every process whose settings are in the folder."""
        for role, module in PROGRAMS.items():
            for path in sorted(self.folder.glob(f"{role}*.yaml")):
                await self._start(path.stem, module, path)

    async def run_client(self, *arguments: str) -> tuple[int, str, str]:
        """Run the operators' command line and return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "currantbarrow",
            *arguments,
            env=self._environment(),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return await process.wait(), out.decode(), err.decode()

    def url(self, name: str, port: int) -> str:
        """Return the URL of a running process, given its port in the example's settings."""
        assert name in self.running
        return f"http://127.0.0.1:{self._ports[port]}"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    async def wait(self, name: str) -> int:
        """Wait for a process to exit and return its exit code."""
        return await self.running[name].wait()

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f"{name}.log").read_text()

    async def kill_all(self) -> None:
        """Kill the processes that still run, and release the ports."""
        running = [process for process in self.running.values() if process.returncode is None]
        for process in running:
            process.kill()
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            await asyncio.gather(*(process.wait() for process in running))
        self._block_lock.close()

    async def _start(self, name: str, module: str, path: Path) -> None:
        with (self.folder / f"{name}.log").open("w") as log:
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                f"from {module} import main; main()",
                "--settings",
                str(path),
                env=self._environment(),
                stdout=log,
                stderr=log,
            )

    def _environment(self) -> dict[str, str]:
        source = str(Path(__file__).parent.parent / "src")
        return {
            **os.environ,
            "PYTHONPATH": source,
            "CURRANTBARROW_SETTINGS": self._operator_settings(),
        }

    def _operator_settings(self) -> str:
        return str(self.folder / "operator.yaml")

    def _reserve(self, count: int) -> list[int]:
        """Return free ports of a block, reserved by listening on the block's first port."""
        bases = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
        random.shuffle(bases)
        for base in bases:
            ports = list(range(base + 1, base + 1 + count))
            try:
                block_lock = socket.create_server((LOCALHOST, base))
            except OSError:
                continue
            if all(_is_free(port) for port in ports):
                self._block_lock = block_lock
                return ports
            block_lock.close()
        raise OSError("no block of ports is free")

    def _move_to_free_ports(self) -> dict[int, int]:
        files = list(self.folder.glob("*.yaml"))
        ports = {int(port) for path in files for port in ADDRESS.findall(path.read_text())}
        free_ports = self._reserve(len(ports))
        new_ports = dict(zip(sorted(ports), free_ports, strict=True))
        for path in files:
            text = ADDRESS.sub(lambda m: f"127.0.0.1:{new_ports[int(m[1])]}", path.read_text())
            path.write_text(text)
        return new_ports


def _is_free(port: int) -> bool:
    try:
        socket.create_server((LOCALHOST, port)).close()
    except OSError:
        return False
    return True
