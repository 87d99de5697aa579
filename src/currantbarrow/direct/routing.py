"""Map requests to queues by host and path."""

from __future__ import annotations

from currantbarrow.direct.model import WorkQueue

__all__ = ["Configuration"]


class Configuration:
    """Represent a version of the configuration, with its queues indexed by host."""

    __slots__ = ("_by_host", "document", "max_body_bytes", "services", "version")

    def __init__(
        self,
        version: int,
        queues: list[WorkQueue],
        services: frozenset[str],
        max_body_bytes: int,
        document: bytes,
    ) -> None:
        self.version = version
        self.services = services
        self.max_body_bytes = max_body_bytes
        self.document = document
        self._by_host: dict[str, list[WorkQueue]] = {}
        # Longer prefixes come first, so the first match is the most specific one.
        for queue in sorted(queues, key=lambda queue: -len(queue.path_prefix)):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> WorkQueue | None:
        """Return the queue with the longest matching path prefix, or None."""
        for queue in self._by_host.get(host.lower(), []):
            if path.startswith(queue.path_prefix):
                return queue
        return None
