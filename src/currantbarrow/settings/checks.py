"""Validate settings and report every error with the path of its field."""

from __future__ import annotations

import typing
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["find_semantic_errors", "find_errors"]

MAX_PORT = 65_535


def find_errors(plain: Any, schema: Any, path: str = "") -> list[str]:
    """Return all errors of plain data against a schema, each with its path."""
    if isinstance(schema, type) and issubclass(schema, msgspec.Struct):
        return _find_struct_errors(plain, schema, path)
    if typing.get_origin(schema) is list and isinstance(plain, list):
        (item,) = typing.get_args(schema)
        errors = [find_errors(value, item, f"{path}[{index}]") for index, value in enumerate(plain)]
        return [error for item_errors in errors for error in item_errors]
    try:
        msgspec.convert(plain, schema)
    except msgspec.ValidationError as error:
        return [f"{path}: {str(error).partition(' - at `$')[0]}"]
    return []


def find_semantic_errors(settings: msgspec.Struct) -> list[str]:
    """Return errors in ports, addresses, token file and lease that the schema cannot express."""
    errors = []
    settings_by_address: dict[str, str] = {}
    for field in msgspec.structs.fields(type(settings)):
        value = getattr(settings, field.name)
        if field.name.endswith("address") and isinstance(value, str):
            errors += _check_address(field.name, value, settings_by_address)
        if field.name == "token_file":
            errors += _check_token_file(value)
    lease_ms = getattr(settings, "lease_ms", None)
    permission_ms = getattr(settings, "permission_ms", 0.0)
    if lease_ms is not None and lease_ms < permission_ms:
        errors.append("lease_ms: a lease is at least as long as permission_ms")
    return errors


def _find_struct_errors(plain: Any, schema: type[msgspec.Struct], path: str) -> list[str]:
    if not isinstance(plain, dict):
        return [f"{path or 'the file'}: has to be a mapping of settings"]
    prefix = f"{path}." if path else ""
    fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
    errors = [f"{prefix}{name}: unknown setting" for name in plain if name not in fields]
    for name, field in fields.items():
        if name in plain:
            errors += find_errors(plain[name], field.type, f"{prefix}{name}")
        elif field.required:
            errors.append(f"{prefix}{name}: missing")
    return errors


def _check_address(name: str, address: str, settings_by_address: dict[str, str]) -> list[str]:
    port = int(address.rpartition(":")[2])
    if port > MAX_PORT:
        return [f"{name}: a port is at most {MAX_PORT}"]
    if port and address in settings_by_address:
        return [f"{name}: {address} is {settings_by_address[address]} too"]
    settings_by_address[address] = name
    return []


def _check_token_file(path: str) -> list[str]:
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [f"token_file: {path}: {getattr(error, 'strerror', 'is not text')}"]
    return [] if text.strip() else [f"token_file: {path} is empty"]
