"""Settings of the daemon `comfreysilld`, read from a YAML file and validated at startup."""

import pathlib

from comfreysill.address import Address, parse_address
from comfreysill.schemas import check_document, read_yaml

ROLES = ("entry", "agent")
PLACEMENTS = ("finish", "random", "round-robin", "least-loaded")

_ADDRESS = {
    "type": "string",
    "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
    "description": "an IPv4 address and a port, such as 10.0.0.1:8080",
}
_NAME = {
    "type": "string",
    "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
    "description": "up to 63 letters, digits, dots, dashes and underscores",
}
SETTINGS_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["role", "name", "zone", "listen", "platform"],
    "properties": {
        "role": {"enum": list(ROLES), "description": "entry or agent"},
        "name": _NAME,
        "zone": _NAME,
        "listen": {
            "type": "object",
            "additionalProperties": False,
            "required": ["http", "grpc"],
            "properties": {"http": _ADDRESS, "grpc": _ADDRESS},
        },
        "platform": {
            "type": "object",
            "additionalProperties": False,
            "required": ["table"],
            "properties": {
                "table": {
                    "type": "string",
                    "pattern": r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
                    "description": "base URL of the platform's store, such as http://10.0.0.1:80",
                }
            },
        },
        "logging": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "format": {"enum": ["text", "json"]},
                "level": {"enum": ["debug", "info", "warning", "error"]},
            },
        },
        "placement": {"enum": list(PLACEMENTS), "description": "placement policy of an entry"},
        "shutdown_seconds": {"type": "number", "minimum": 0, "maximum": 600},
    },
}


class Settings:
    """Settings of one entry or agent.

    Attributes:
        role: One of `ROLES`.
        name: Name of the instance, unique among all instances.
        zone: Availability zone of the instance.
        http: Address of the HTTP server for callers and operators, or for the runner.
        grpc: Address of the gRPC server, to which entries connect.
        table: Base URL of the platform's store.
        log_format: `text` or `json`.
        log_level: Name of the minimum log level.
        shutdown_seconds: Maximum duration of a graceful shutdown in seconds.
        placement: Placement policy of an entry, one of `PLACEMENTS`.
    """

    __slots__ = (
        "role",
        "name",
        "zone",
        "http",
        "grpc",
        "table",
        "log_format",
        "log_level",
        "shutdown_seconds",
        "placement",
    )

    def __init__(
        self,
        *,
        role: str,
        name: str,
        zone: str,
        http: Address,
        grpc: Address,
        table: str,
        log_format: str,
        log_level: str,
        shutdown_seconds: float,
        placement: str,
    ) -> None:
        self.placement = placement
        self.role = role
        self.name = name
        self.zone = zone
        self.http = http
        self.grpc = grpc
        self.table = table
        self.log_format = log_format
        self.log_level = log_level
        self.shutdown_seconds = shutdown_seconds


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        DocumentError: The file has errors; all of them are listed.
        UsageError: The file can't be read.
    """
    document = read_yaml(path, "--settings")
    check_document(document, SETTINGS_SCHEMA, str(path))
    logging = document.get("logging", {})
    return Settings(
        role=document["role"],
        name=document["name"],
        zone=document["zone"],
        http=parse_address(document["listen"]["http"]),
        grpc=parse_address(document["listen"]["grpc"]),
        table=document["platform"]["table"],
        log_format=logging.get("format", "text"),
        log_level=logging.get("level", "info"),
        shutdown_seconds=float(document.get("shutdown_seconds", 30)),
        placement=document.get("placement", "finish"),
    )
