"""Query the members of a fleet."""

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
    """Describe a member of the fleet as an entry process reports it."""

    member: Member
    up: bool
    shards: int
    on_panel: bool
    slots: int
    used_slots: int


class ClassRow(msgspec.Struct):
    """Describe a revision of a class; target_ms is None where the class was removed."""

    name: str
    revision: int
    target_ms: float | None
    description: str
    at_ms: int
    operator: str


class MemberReply(msgspec.Struct):
    """Represent the reply of a member, or the error if there is none."""

    member: Member
    body: Any = None
    error: str = ""


async def list_members(client: HttpClient, operator_url: str) -> list[MemberRow]:
    """Return all members that an entry process knows; raise OperatorError."""
    return msgspec.convert(await client.get(f"{operator_url}/members"), list[MemberRow])


async def query_members(
    client: HttpClient, members: Iterable[Member], path: str, params: dict[str, str] | None = None
) -> list[MemberReply]:
    """Send a GET to all members at once, and return replies or errors in the given order."""

    async def query(member: Member) -> MemberReply:
        if not member.operator_address:
            return MemberReply(member, error="it has no operator address")
        try:
            body = await client.get(f"http://{member.operator_address}{path}", params)
        except OperatorError as error:
            return MemberReply(member, error=f"{error.code}: {error}")
        return MemberReply(member, body)

    return await asyncio.gather(*(query(member) for member in members))


async def fetch_class_history(client: HttpClient, operator_url: str, name: str) -> list[ClassRow]:
    """Return the latest revisions of a class, oldest first; raise OperatorError."""
    path = f"/classes/{quote(name, safe='')}"
    return msgspec.convert(await client.get(f"{operator_url}{path}"), list[ClassRow])


async def wait_until_in_force(
    client: HttpClient, operator_url: str, name: str, revision: int, wait_s: float
) -> int:
    """Return the number of entry processes once all have a revision; raise WaitEnded."""
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
