"""Confirm leases of owners, as one member of the panel that the log names."""

from __future__ import annotations

from currantbarrow.protocol import CloseVersion, Confirm, Confirmed

__all__ = ["PanelMember"]


class PanelMember:
    """Remember the newest closed version, and nothing else.

    The member decides nothing: it stops confirming when the holder of a newer log record asks.
    """

    __slots__ = ("closed_version",)

    def __init__(self) -> None:
        self.closed_version = 0

    def confirm(self, call: Confirm) -> Confirmed:
        """Confirm a lease unless its version is closed."""
        accepted = call.version > self.closed_version
        return Confirmed(call.call_id, accepted, self.closed_version)

    def close(self, call: CloseVersion) -> Confirmed:
        """Close a version and all before it."""
        self.closed_version = max(self.closed_version, call.version)
        return Confirmed(call.call_id, True, self.closed_version)
