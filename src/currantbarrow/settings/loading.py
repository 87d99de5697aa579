"""Load settings files, and report every mistake in one go."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

from currantbarrow.exceptions import SettingsError
from currantbarrow.settings.checks import find_conflicts, find_errors

__all__ = ["load_settings", "read_token"]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


def load_settings(path: Path, schema: type[SettingsT]) -> SettingsT:
    """Return the settings in a YAML file; raise SettingsError with every mistake."""
    plain = _read_yaml(path)
    errors = find_errors(plain, schema)
    if not errors:
        settings = _resolve_token_file(msgspec.convert(plain, schema), path.parent)
        errors = find_conflicts(settings)
        if not errors:
            return settings
    raise SettingsError("\n".join(f"{path}: {mistake}" for mistake in errors))


def read_token(path: str) -> str:
    """Return the shared token from its file; raise SettingsError."""
    try:
        token = Path(path).read_text().strip()
    except OSError as error:
        raise SettingsError(f"token_file: {path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"token_file: {path} is not text") from error
    if not token:
        raise SettingsError(f"token_file: {path} is empty")
    return token


def _read_yaml(path: Path) -> Any:
    try:
        return yaml.load(path.read_text(), _UniqueKeyLoader)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(f"{path}: not YAML: {error}") from error


def _resolve_token_file(settings: SettingsT, folder: Path) -> SettingsT:
    """Take a relative path of the token's file from the folder of the settings."""
    token_file = getattr(settings, "token_file", None)
    if token_file is None:
        return settings
    return msgspec.structs.replace(settings, token_file=str(folder / token_file))


class _UniqueKeyLoader(yaml.SafeLoader):
    """Report a key that stands twice, where plain YAML loaders keep the last."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Return the mapping of a node."""
        seen: set[str] = set()
        for key_node, _ in node.value:
            if key_node.value in seen:
                place = f"line {key_node.start_mark.line + 1}"
                raise yaml.YAMLError(f"{place}: {key_node.value} is set twice")
            if isinstance(key_node, yaml.ScalarNode):
                seen.add(key_node.value)
        return super().construct_mapping(node, deep)
