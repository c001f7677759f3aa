"""Network addresses of processes."""

import ipaddress
import re

MAX_PORT = 65_535
MAX_HOST_CHARS = 253
_LABEL = "[0-9A-Za-z-]{1,63}"
_NUMERIC_HOST = re.compile(r"[0-9.]+", re.ASCII)
_ADDRESS = re.compile(rf"({_LABEL}(?:\.{_LABEL})*):([0-9]{{1,5}})", re.ASCII)


class Address:
    """IP address or host name, and port."""

    __slots__ = ("host", "port")

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses an address of the form `host:port`.

    Raises:
        ValueError: The text has another form, or the port is out of range.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT or not _is_host(match[1]):
        raise ValueError(f"expected an address host:port, got {text[:100]!r}")
    return Address(host=match[1], port=int(match[2]))


def _is_host(text: str) -> bool:
    if _NUMERIC_HOST.fullmatch(text) is None:
        return len(text) <= MAX_HOST_CHARS
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
