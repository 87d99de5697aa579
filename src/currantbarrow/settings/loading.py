"""Load settings files, and report every mistake in one go."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

from currantbarrow.exceptions import SettingsError

__all__ = ["find_mistakes", "load_settings", "read_token"]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


def load_settings(path: Path, schema: type[SettingsT]) -> SettingsT:
    """Return the settings in a YAML file; raise SettingsError with every mistake."""
    try:
        plain = yaml.safe_load(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: {error}") from error
    mistakes = find_mistakes(plain, schema)
    if mistakes:
        raise SettingsError("\n".join(f"{path}: {mistake}" for mistake in mistakes))
    return msgspec.convert(plain, schema)


def find_mistakes(plain: Any, schema: type[msgspec.Struct]) -> list[str]:
    """Return every mistake with the path of its field."""
    if not isinstance(plain, dict):
        return ["the file must hold a mapping of settings"]
    fields = {field.name: field for field in msgspec.structs.fields(schema)}
    mistakes = [f"{name}: unknown setting" for name in plain if name not in fields]
    for name, field in fields.items():
        if name not in plain:
            if field.required:
                mistakes.append(f"{name}: missing")
            continue
        try:
            msgspec.convert(plain[name], field.type)
        except msgspec.ValidationError as error:
            mistakes.append(f"{name}: {error}")
    return mistakes


def read_token(path: str) -> str:
    """Return the shared token from its file; raise SettingsError."""
    try:
        token = Path(path).read_text().strip()
    except OSError as error:
        raise SettingsError(f"token_file: {path}: {error.strerror}") from error
    if not token:
        raise SettingsError(f"token_file: {path} is empty")
    return token
