"""Limit what the clients of a process's servers can take of its memory, processor and descriptors.

The servers use HTTP libraries, whose own limits are for one connection each. Everything here is
common to all connections of a process, and sits between them and the library's protocol.
"""

from currantbarrow.intake.acceptor import Acceptor
from currantbarrow.intake.body import BodyParts
from currantbarrow.intake.connection import GuardedConnection, connection_of, is_peer_gone
from currantbarrow.intake.intake import Intake, create_intake
from currantbarrow.intake.limits import IntakeLimits, create_internal_limits, create_limits
from currantbarrow.intake.policy import Refusal

__all__ = [
    "Acceptor",
    "BodyParts",
    "GuardedConnection",
    "Intake",
    "IntakeLimits",
    "Refusal",
    "connection_of",
    "create_intake",
    "create_internal_limits",
    "create_limits",
    "is_peer_gone",
]
