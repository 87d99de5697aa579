"""Ask every member of a fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

import msgspec

from currantbarrow.cli.client import HttpClient
from currantbarrow.cluster import Member
from currantbarrow.exceptions import OperatorError, WaitEnded
from currantbarrow.protocol import Role

__all__ = [
    "ClassRow",
    "MemberRow",
    "query_members",
    "list_members",
    "fetch_class_history",
    "wait_until_in_force",
]

POLL_INTERVAL_S = 0.1


class MemberRow(msgspec.Struct):
    """Hold one member as an entry process sees it."""

    member: Member
    up: bool
    shards: int
    on_panel: bool
    slots: int
    used_slots: int


class ClassRow(msgspec.Struct):
    """Hold one revision of a class."""

    name: str
    revision: int
    target_ms: float | None
    description: str
    at_ms: int
    operator: str


class MemberReply(msgspec.Struct):
    """Hold what one member answered, or why it did not."""

    member: Member
    body: Any = None
    error: str = ""


async def list_members(client: HttpClient, operator_url: str) -> list[MemberRow]:
    """Return all members; raise OperatorError."""
    return msgspec.convert(await client.get(f"{operator_url}/members"), list[MemberRow])


async def query_members(
    client: HttpClient, members: Iterable[Member], path: str, params: dict[str, str] | None = None
) -> list[MemberReply]:
    """Return every member's answer, or its error, in the order given."""

    async def ask(member: Member) -> MemberReply:
        if not member.operator_address:
            return MemberReply(member, error="it has no operator address")
        try:
            body = await client.get(f"http://{member.operator_address}{path}", params)
        except OperatorError as error:
            return MemberReply(member, error=f"{error.code}: {error}")
        return MemberReply(member, body)

    return await asyncio.gather(*(ask(member) for member in members))


async def fetch_class_history(client: HttpClient, operator_url: str, name: str) -> list[ClassRow]:
    """Return the latest revisions of a class, oldest first; raise OperatorError."""
    path = f"/classes/{quote(name, safe='')}"
    return msgspec.convert(await client.get(f"{operator_url}{path}"), list[ClassRow])


async def wait_until_in_force(
    client: HttpClient, operator_url: str, name: str, revision: int, wait_s: float
) -> int:
    """Wait until all entry processes have a revision, and return how many; raise WaitEnded."""
    lagging: list[str] = []
    try:
        async with asyncio.timeout(wait_s):
            while True:
                rows = await list_members(client, operator_url)
                entries = [row.member for row in rows if row.member.role is Role.ENTRY]
                lagging = await _find_lagging(client, entries, name, revision)
                if not lagging:
                    return len(entries)
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        message = f"not in force after {wait_s:g} s on: {', '.join(lagging) or 'all members'}"
        raise WaitEnded(message) from None


async def _find_lagging(
    client: HttpClient, entries: list[Member], name: str, revision: int
) -> list[str]:
    replies = await query_members(client, entries, f"/classes/{quote(name, safe='')}")
    return [reply.member.name for reply in replies if _latest_revision(reply.body) < revision]


def _latest_revision(body: Any) -> int:
    if not body:
        return 0
    return max(row.revision for row in msgspec.convert(body, list[ClassRow]))
