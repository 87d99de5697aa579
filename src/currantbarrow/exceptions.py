"""Exceptions of the package: one base class, and a stable code for each."""

from __future__ import annotations

__all__ = [
    "AddressUnavailable",
    "AnnouncementInvalid",
    "AppendUnknown",
    "BadFrame",
    "CallUnsent",
    "ClassConflict",
    "ClientRefused",
    "ConfigurationError",
    "CurrantbarrowError",
    "DispatchError",
    "DrainCutShort",
    "JobConflict",
    "JobInvalid",
    "JobUnknown",
    "LinkClosed",
    "LinkError",
    "LinkFull",
    "LinkTimeout",
    "LogServiceError",
    "LogUnavailable",
    "MemberAlive",
    "MemberUnknown",
    "OperatorError",
    "OwnershipError",
    "ProtocolMismatch",
    "RecordsExpired",
    "RemoteError",
    "SettingsError",
    "UpstreamError",
    "UpstreamLost",
    "ValueTooComplex",
    "ValueUndecodable",
    "WaitEnded",
    "WorkerReplaced",
    "WorkerRestarted",
    "WorkerSilent",
    "WorkerUnreached",
]


class CurrantbarrowError(Exception):
    """Report an error with a stable code and a hint in addition to the message."""

    code = "internal"
    hint = ""

    def __init__(self, message: str = "", *, hint: str | None = None) -> None:
        super().__init__(message or self.code)
        if hint is not None:
            self.hint = hint


class SettingsError(CurrantbarrowError):
    """Report that a settings file is invalid; the message lists every error."""

    code = "settings_invalid"
    hint = "Run the program with --check to see every mistake with its path."


class AddressUnavailable(CurrantbarrowError):
    """Report that an address from the settings could not be bound."""

    code = "address_unavailable"
    hint = "Another process listens there, or this host has no such address; see the settings."


class DrainCutShort(CurrantbarrowError):
    """Report that the process ended before its drain was complete."""

    code = "drain_cut_short"
    hint = "A second signal or the bound drain_ms ended it; callers submit their keys again."


class ValueTooComplex(CurrantbarrowError):
    """Report that a value cannot be encoded for another process; path locates it."""

    code = "value_too_complex"

    def __init__(self, message: str, path: str) -> None:
        super().__init__(message)
        self.path = path


class ValueUndecodable(CurrantbarrowError):
    """Report that data of another process or writer is not a value of the expected type."""

    code = "value_undecodable"


class OperatorError(CurrantbarrowError):
    """Report that an operator's command failed; code is that of the cause."""

    code = "command_failed"

    def __init__(self, message: str, *, code: str, hint: str = "") -> None:
        super().__init__(message, hint=hint)
        self.code = code


class WaitEnded(CurrantbarrowError):
    """Report that the condition that a command waited for was not met in time."""

    code = "wait_ended"
    hint = "The change is accepted; members that are cut off take it when they are back."


class MemberUnknown(CurrantbarrowError):
    """Report that a process is neither a member nor departed without proof of its end."""

    code = "member_unknown"
    hint = "List the processes with: currantbarrow members"


class MemberAlive(CurrantbarrowError):
    """Report that a process cannot be retired because it still responds."""

    code = "member_alive"
    hint = "Stop it first; it leaves by itself then."


class LogServiceError(CurrantbarrowError):
    """Report that a request to the platform's log service failed."""

    code = "log_error"


class LogUnavailable(LogServiceError):
    """Report that the log service did not accept the request, which had no effect."""

    code = "log_unavailable"
    hint = "The platform's log service is down or slow; work that needs no record goes on."


class AppendUnknown(LogServiceError):
    """Report that the reply to an append was lost: the record may or may not have been written."""

    code = "append_unknown"


class RecordsExpired(LogServiceError):
    """Report that a read starts before first_offset, the first record that is still retained."""

    code = "records_expired"

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} have expired")
        self.first_offset = first_offset


class LinkError(CurrantbarrowError):
    """Report an error on a link between two processes of the system."""

    code = "link_error"


class LinkClosed(LinkError):
    """Report that a link is closed or could not be opened."""

    code = "link_closed"


class LinkFull(LinkError):
    """Report that the bounded outbound queue of a link is full."""

    code = "link_full"


class LinkTimeout(LinkError):
    """Report that a call over a link was not answered in time."""

    code = "link_timeout"


class ProtocolMismatch(LinkError):
    """Report that the peer has no common protocol version, or the wrong token."""

    code = "protocol_mismatch"


class BadFrame(LinkError):
    """Report that a frame could not be decoded to known messages."""

    code = "bad_frame"


class CallUnsent(LinkError):
    """Report that a call certainly did not reach its server."""

    code = "call_unsent"


class CallRefused(CallUnsent):
    """Report that no process listens at the address of a server."""

    code = "call_refused"


class RemoteError(LinkError):
    """Report that the peer replied to a call with an error, whose code is remote_code."""

    code = "remote_error"

    def __init__(self, message: str, *, remote_code: str = "") -> None:
        super().__init__(message)
        self.remote_code = remote_code


class ConfigurationError(CurrantbarrowError):
    """Report that a configuration change or a stored record was invalid or not accepted."""

    code = "configuration_error"


class ClassConflict(ConfigurationError):
    """Report that a change was based on a revision that another change has replaced."""

    code = "class_conflict"
    hint = "Show the class, then repeat the change on its present revision."


class ClientRefused(CurrantbarrowError):
    """Report that a request is not received further, as clients take too much together."""

    code = "client_refused"


class OwnershipError(CurrantbarrowError):
    """Report that this process does not currently own the shard."""

    code = "owner_unavailable"


class DispatchError(CurrantbarrowError):
    """Report that a task could not be sent to a side process."""

    code = "dispatch_error"


class UpstreamError(CurrantbarrowError):
    """Report that the upstream answered a task with an error."""

    code = "upstream_error"


class UpstreamLost(UpstreamError):
    """Report that the upstream never answered a task that it may have started."""

    code = "upstream_lost"


class WorkerSilent(UpstreamError):
    """Report that a command was not answered in time and may still be executed by the worker."""

    code = "worker_silent"


class WorkerUnreached(UpstreamError):
    """Report that a command certainly did not reach its worker."""

    code = "worker_unreached"


class WorkerAbsent(WorkerUnreached):
    """Report that no process listens at the address of a worker."""

    code = "worker_absent"


class WorkerReplaced(UpstreamError):
    """Report that a command was rejected as the worker has restarted as another instance."""

    code = "worker_replaced"


class WorkerRestarted(UpstreamError):
    """Report that a later instance of the worker answered under the same id."""

    code = "worker_restarted"

    def __init__(self, born_ms: int) -> None:
        super().__init__(f"an instance of the worker with birth {born_ms} answered")
        # The birth of the instance that answered, in Unix milliseconds.
        self.born_ms = born_ms


class AnnouncementInvalid(CurrantbarrowError):
    """Report that an announcement of a worker is unreadable or of another service."""

    code = "announcement_invalid"


class JobInvalid(CurrantbarrowError):
    """Report that a submission is invalid; field names the part at fault, if known."""

    code = "job_invalid"

    def __init__(
        self, message: str, *, field: str = "", code: str | None = None, not_run: bool = True
    ) -> None:
        super().__init__(message)
        self.field = field
        self.not_run = not_run
        if code is not None:
            self.code = code


class JobConflict(CurrantbarrowError):
    """Report that an idempotency key was used before with a different body."""

    code = "key_reused"
    hint = "Use a fresh key for a different job."


class JobUnknown(CurrantbarrowError):
    """Report that no job is known for the key."""

    code = "job_unknown"
