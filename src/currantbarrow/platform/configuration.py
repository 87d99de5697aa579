"""Parse the configuration that operators publish."""

from __future__ import annotations

import msgspec

from currantbarrow.decoding import Count, Integer, Number, decode_json
from currantbarrow.direct.model import WorkQueue
from currantbarrow.direct.routing import Configuration
from currantbarrow.exceptions import ConfigurationError, ValueUndecodable

__all__ = ["parse_configuration"]

DEFAULT_MAX_BODY_BYTES = 262_144


class _Route(msgspec.Struct):
    """Describe a route of the platform, which is a queue in this package's terms."""

    name: str
    host: str
    path_prefix: str
    service: str = ""
    timeout_ms: Number = 0.0
    priority: Integer = 0
    max_attempts: Integer = 1
    stretch: Number = 1.0
    # Not a limit on the response time: it is added to the stretched run time to give the target.
    target_latency_ms: Number = 0.0
    advice: msgspec.Raw | None = None


class _Service(msgspec.Struct):
    name: str


class _Limits(msgspec.Struct):
    max_body_bytes: Integer = DEFAULT_MAX_BODY_BYTES


class _Document(msgspec.Struct):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def parse_configuration(document: bytes) -> Configuration:
    """Parse a published document; raise ConfigurationError."""
    try:
        published = decode_json(document, _Document)
    except ValueUndecodable as error:
        raise ConfigurationError(str(error)) from error
    queues = [
        WorkQueue(
            route.name,
            route.host,
            route.path_prefix,
            route.service,
            route.priority,
            route.target_latency_ms,
            route.stretch,
            max(1, route.max_attempts),
            route.timeout_ms,
            route.advice is not None,
        )
        for route in published.routes
    ]
    services = frozenset(service.name for service in published.services)
    return Configuration(
        published.version, queues, services, published.limits.max_body_bytes, document
    )
