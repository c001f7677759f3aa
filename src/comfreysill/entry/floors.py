"""Check of floor documents, from operators, the store and other entries."""

from typing import Any

from result import Err, Ok, Result

from comfreysill.exceptions import Problem
from comfreysill.floor.document import Floor, build_floor, find_inconsistencies
from comfreysill.floor.schema import FLOOR_SCHEMA
from comfreysill.schemas import find_problems


def check_floor(document: Any) -> list[Problem]:
    """Returns the schema errors of a floor document, or its inconsistencies if there are none."""
    problems = find_problems(document, FLOOR_SCHEMA)
    return problems or find_inconsistencies(document)


def build_checked_floor(version: int, document: Any) -> Result[Floor, str]:
    """Builds the floor from a document; the error names the first invalid field."""
    try:
        problems = check_floor(document)
    except (ValueError, RecursionError) as error:
        return Err(str(error))
    if problems:
        return Err(str(problems[0]))
    return Ok(build_floor(version, document))
