"""Reading of YAML documents, and validation against JSON schemas that reports all errors."""

import difflib
import json
import pathlib
from typing import Any

import jsonschema
import yaml

from comfreysill.exceptions import DocumentError, Problem, UsageError

_MAX_VALUE_CHARS = 60


def read_yaml(path: pathlib.Path, parameter: str) -> Any:
    """Reads a YAML file named by a parameter of a command.

    Args:
        path: Path of the file.
        parameter: Name of the parameter, for error messages.

    Raises:
        DocumentError: The file is not valid YAML.
        UsageError: The file can't be read.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise UsageError(
            message=f"{parameter} {path}: {error.strerror}",
            hint="pass the path of a readable YAML file",
        ) from error
    return load_yaml(text, str(path))


def load_yaml(text: str, source: str) -> Any:
    """Parses a YAML document.

    Raises:
        DocumentError: The text is not valid YAML; the error states line and column, if known.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        path = f"line {mark.line + 1}, column {mark.column + 1}" if mark else "(document)"
        problem = Problem(path=path, value="text", reason=f"not valid YAML: {error}")
        raise DocumentError(source=source, problems=(problem,)) from error


def find_problems(document: Any, schema: dict) -> list[Problem]:
    """Returns all schema violations in a document, ordered by path."""
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(document), key=lambda error: error.json_path)
    return [problem for error in errors for problem in _convert_error(error)]


def check_document(document: Any, schema: dict, source: str) -> None:
    """Validates a document.

    Raises:
        DocumentError: The document violates the schema; the error lists all violations.
    """
    problems = find_problems(document, schema)
    if problems:
        raise DocumentError(source=source, problems=tuple(problems))


def _convert_error(error: jsonschema.ValidationError) -> list[Problem]:
    path = error.json_path.removeprefix("$").removeprefix(".") or "(document)"
    if error.validator == "additionalProperties":
        return _convert_unknown_keys(error, path)
    reason = error.message if len(error.message) < 200 else f"fails {error.validator}"
    hint = error.schema.get("description", "") if isinstance(error.schema, dict) else ""
    return [Problem(path=path, value=shorten(error.instance), reason=reason, hint=hint)]


def _convert_unknown_keys(error: jsonschema.ValidationError, path: str) -> list[Problem]:
    known = list(error.schema.get("properties", {}))
    problems = []
    for key in sorted(set(error.instance) - set(known), key=str):
        matches = difflib.get_close_matches(str(key), known, n=1)
        hint = f"did you mean {matches[0]!r}?" if matches else f"known keys: {', '.join(known)}"
        key_path = str(key) if path == "(document)" else f"{path}.{key}"
        value = shorten(error.instance[key])
        problems.append(Problem(path=key_path, value=value, reason="unknown key", hint=hint))
    return problems


def shorten(value: Any) -> str:
    """Returns a value as JSON, truncated for use in a message."""
    text = json.dumps(value, default=str)
    return text if len(text) <= _MAX_VALUE_CHARS else text[: _MAX_VALUE_CHARS - 3] + "..."
