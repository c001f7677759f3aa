"""Checks of the fields of protobuf messages on the platform."""

from comfreysill.address import parse_address
from comfreysill.wire.errors import FrameError

MAX_NAME_CHARS = 200
MAX_AMOUNT = 2**31 - 1
# Upper bound of times, in seconds, and of ratios.
MAX_NUMBER = 1e12


def check_name(text: str, field: str) -> str:
    """Returns a name that is neither empty nor too long.

    Raises:
        FrameError: It is.
    """
    if not 0 < len(text) <= MAX_NAME_CHARS:
        raise FrameError(f"{field}: a name of {len(text)} characters")
    return text


def check_address(text: str, field: str) -> str:
    """Returns an address of the form `host:port`.

    Raises:
        FrameError: It has another form.
    """
    try:
        parse_address(text)
    except ValueError as error:
        raise FrameError(f"{field}: {error}") from error
    return text


def check_optional_address(text: str, field: str) -> str:
    """Returns an address, or an empty text; see `check_address`."""
    return check_address(text, field) if text else text


def check_number(value: float, field: str) -> float:
    """Returns a number that is neither negative nor too large; NaN fails as well.

    Raises:
        FrameError: It is.
    """
    if not 0 <= value <= MAX_NUMBER:
        raise FrameError(f"{field}: {value}")
    return value


def check_amount(value: int, field: str) -> int:
    """Returns an amount that is not too large.

    Raises:
        FrameError: It is.
    """
    if value > MAX_AMOUNT:
        raise FrameError(f"{field}: {value}")
    return value
