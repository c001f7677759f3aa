"""Reads the settings file of an instance, and finds in it the addresses to listen on.

This module is imported before the ports are open, so it imports little; `settings` checks the rest.
The platform writes YAML, or JSON where the deploy file names a template. The template of this
project puts what the platform writes under INSTANCE_KEY, beside settings of its own.
"""

import json
import os
import pathlib
from typing import Any

from comfreysill.address import Address, parse_address
from comfreysill.exceptions import UsageError

SETTINGS_VARIABLE = "COMFREYSILL_SETTINGS"
INSTANCE_KEY = "instance"
HINT = "expected the settings file that the platform writes for the instance"
# Names of the listening address for HTTP, by role.
HTTP_ADDRESS_NAMES = {"entry": "front", "agent": "control"}


def read_settings_file() -> Any:
    """Reads the settings file whose path is in the environment, and returns its document.

    Raises:
        UsageError: The variable is not set, or the file can't be read or parsed.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise UsageError(message=f"the environment variable {SETTINGS_VARIABLE} is not set")
    try:
        text = pathlib.Path(path).read_text()
        return _merge(json.loads(text) if text.startswith("{") else _parse_yaml(text))
    except (OSError, ValueError, RecursionError) as error:
        raise build_settings_error(error) from error


def _merge(document: Any) -> Any:
    """Returns the fields under INSTANCE_KEY and those beside it in one document."""
    if not isinstance(document, dict) or not isinstance(document.get(INSTANCE_KEY), dict):
        return document
    return {**document[INSTANCE_KEY], **document}


def build_settings_error(error: Exception) -> UsageError:
    """Builds the error for a settings file that can't be used."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    return UsageError(message=f"{path}: {type(error).__name__} {error}", hint=HINT)


def _parse_yaml(text: str) -> Any:
    import yaml

    try:
        return yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise ValueError(str(error)) from error


def find_listening_addresses(document: Any, role: str) -> tuple[Address, Address]:
    """Returns the listening addresses of a role: for HTTP, and for links.

    Raises:
        UsageError: The document defines no valid address.
    """
    try:
        http = parse_address(document["listen"][HTTP_ADDRESS_NAMES[role]])
        link = parse_address(f"{document['ip']}:{document['port-range'][0]}")
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise UsageError(
            message=f"the settings define no listening port for the {role} role: {error!r}",
            hint="declare what the role serves in the deploy file",
        ) from error
    return http, link
