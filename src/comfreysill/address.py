"""Network addresses of processes."""


class Address:
    """IP address and port."""

    __slots__ = ("host", "port")

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses an address of the form `host:port`.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))
