"""Load settings files, and report all errors of a file at once."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

from currantbarrow.exceptions import SettingsError
from currantbarrow.settings.checks import find_errors, find_semantic_errors

__all__ = ["load_settings", "read_token"]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


def load_settings(path: Path, schema: type[SettingsT]) -> SettingsT:
    """Load settings from a YAML file; raise SettingsError listing every error."""
    plain = _read_yaml(path)
    errors = find_errors(plain, schema)
    if not errors:
        settings = _resolve_token_file(msgspec.convert(plain, schema), path.parent)
        errors = find_semantic_errors(settings)
        if not errors:
            return settings
    raise SettingsError("\n".join(f"{path}: {error}" for error in errors))


def read_token(path: str) -> str:
    """Read the shared token from its file; raise SettingsError if it is missing or empty."""
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
    """Resolve a relative token_file against the folder of the settings file."""
    token_file = getattr(settings, "token_file", None)
    if token_file is None:
        return settings
    return msgspec.structs.replace(settings, token_file=str(folder / token_file))


class _UniqueKeyLoader(yaml.SafeLoader):
    """Raise an error on a duplicate key, of which the base loader would keep the last value."""

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
