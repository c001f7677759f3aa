"""Instance settings: the checked content of the settings file."""

import sys
from typing import Annotated, Any, Required, TypedDict

import msgspec
from msgspec import Meta

from comfreysill.address import MAX_PORT, Address, parse_address
from comfreysill.connections.limits import ConnectionLimits
from comfreysill.placement.link_need import DEFAULT_MAX_LINK_SHARE
from comfreysill.platform.documents import Name, OptionalName
from comfreysill.platform.settings_file import build_settings_error, read_settings_file

MAX_GRACE_SECONDS = 3_600.0
MAX_REMOTE_FACTOR = 1_000.0
DEFAULT_REMOTE_FACTOR = 1.0
MAX_RETRY_MS = 3_600_000.0
# Callers that send a request again at once.
DEFAULT_RETRY_MS = 0.0
MAX_MEMORY_MB = float(1 << 24)
MAX_DESCRIPTORS = 1 << 24
MAX_CONNECTION_LIMIT = 1 << 40

Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
ListenDocument = TypedDict(
    "ListenDocument",
    {"front": OptionalName, "ready": OptionalName, "control": OptionalName},
    total=False,
)
BoundsDocument = TypedDict(
    "BoundsDocument",
    {
        "grace-s": Required[Annotated[float, Meta(gt=0, le=MAX_GRACE_SECONDS)]],
        "remote-factor": Annotated[float, Meta(ge=1, le=MAX_REMOTE_FACTOR)],
        "retransmit-ms": Annotated[float, Meta(ge=0, le=MAX_RETRY_MS)],
    },
    total=False,
)
ProcessLimitsDocument = TypedDict(
    "ProcessLimitsDocument",
    {
        "memory-mb": Annotated[float, Meta(ge=0, le=MAX_MEMORY_MB)] | None,
        "max-fds": Annotated[float, Meta(ge=0, le=MAX_DESCRIPTORS)] | None,
    },
    total=False,
)
# Limits of a client's connection, such as `head-bytes`; not fields of the platform.
ConnectionsDocument = TypedDict(
    "ConnectionsDocument",
    {
        name.replace("_", "-"): Annotated[
            float if name.endswith("_seconds") else int, Meta(ge=1, le=MAX_CONNECTION_LIMIT)
        ]
        for name in ConnectionLimits.__slots__
    },
    total=False,
)
AdmissionDocument = TypedDict(
    "AdmissionDocument",
    {"early-refusal": bool, "least-share": Annotated[float, Meta(ge=0, le=1)]},
    total=False,
)
StoreDocument = TypedDict("StoreDocument", {"address": Required[Name]}, total=False)
SettingsDocument = TypedDict(
    "SettingsDocument",
    {
        "node": Required[Name],
        "zone": Required[Name],
        "ip": Required[Name],
        "listen": Required[ListenDocument],
        "port-range": Required[tuple[Port, Port]],
        "seeds": list[Name] | None,
        "app": Name | None,
        "service": OptionalName | None,
        "platform": Required[StoreDocument],
        "bounds": Required[BoundsDocument],
        "limits": ProcessLimitsDocument | None,
        "connection-limits": ConnectionsDocument,
        # Not a field of the platform: the template adds it.
        "admission": AdmissionDocument,
        # Not a field of the platform: set if a proxy is in front of the link port, as in the soak
        # test.
        "advertised": OptionalName,
        # Not a field of the platform either: 0 turns links by need off.
        "max-link-share": Annotated[float, Meta(ge=0, le=1)],
    },
    total=False,
)


class InstanceSettings:
    """Settings of an instance.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        callers: Listening address for callers, None if the role doesn't serve them.
        readiness: Listening address of the readiness endpoint that the load balancer polls, None if
            the file has none.
        reports: Listening address for the reports of the local runner, None if there is no runner.
        link: Listening address for connections of entries and agents (gRPC).
        advertised: Address at which entries and agents reach `link`, `host:port`.
        metrics: Listening address of the metrics endpoint.
        entries: Addresses at which entries may be reached (`host:port`, gRPC); some may be stale.
        runner: Address of the local runner, None if there is none.
        service: Service of the local runner, empty if there is none.
        store: Address of the platform's store.
        grace_seconds: Time between the termination signal and the kill.
        remote_factor: Factor on the run time of a task outside the rack of its data.
        retry_seconds: Time from the end of a caller's wait until it sends its request again.
        max_link_share: Share of a service's agents that an entry may link to, beyond its subset
            only by need; 0 for none by need.
        memory_bytes: Maximum memory of the process, 0 if it isn't known.
        max_descriptors: Maximum number of its open descriptors, 0 if it isn't known.
        connection_limits: Limits of each connection of a client.
        refuses_early: Whether an entry refuses requests by their expected end.
        least_share: Part of the mean share of the room that each route gets at least, 0 to 1.
    """

    __slots__ = (
        "name",
        "zone",
        "callers",
        "readiness",
        "reports",
        "link",
        "advertised",
        "metrics",
        "entries",
        "runner",
        "service",
        "store",
        "grace_seconds",
        "remote_factor",
        "retry_seconds",
        "max_link_share",
        "memory_bytes",
        "max_descriptors",
        "connection_limits",
        "refuses_early",
        "least_share",
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        callers: Address | None,
        readiness: Address | None,
        reports: Address | None,
        link: Address,
        advertised: str,
        metrics: Address,
        entries: tuple[str, ...],
        runner: Address | None,
        service: str,
        store: Address,
        grace_seconds: float,
        remote_factor: float,
        retry_seconds: float,
        max_link_share: float,
        memory_bytes: int = 0,
        max_descriptors: int = 0,
        connection_limits: ConnectionLimits | None = None,
        refuses_early: bool,
        least_share: float,
    ) -> None:
        self.name = name
        self.zone = zone
        self.callers = callers
        self.readiness = readiness
        self.reports = reports
        self.link = link
        self.advertised = advertised
        self.metrics = metrics
        self.entries = entries
        self.runner = runner
        self.service = service
        self.store = store
        self.grace_seconds = grace_seconds
        self.remote_factor = remote_factor
        self.retry_seconds = retry_seconds
        self.max_link_share = max_link_share
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors
        self.connection_limits = connection_limits or _build_connection_limits({})
        self.refuses_early = refuses_early
        self.least_share = least_share


def read_instance_settings() -> InstanceSettings:
    """Reads the settings file whose path is in the environment.

    Raises:
        UsageError: The variable is not set, the file can't be read, or a required field is
            missing or invalid.
    """
    return decode_settings(read_settings_file())


def decode_settings(document: Any) -> InstanceSettings:
    """Checks and decodes the document of a settings file.

    Raises:
        UsageError: A required field is missing or invalid.
    """
    try:
        return _build_settings(msgspec.convert(document, SettingsDocument))
    except (RecursionError, ValueError) as error:
        raise build_settings_error(error) from error


def _build_settings(document: SettingsDocument) -> InstanceSettings:
    listen = document["listen"]
    ip = document["ip"]
    first_port, last_port = document["port-range"]
    limits = document.get("limits") or {}
    admission = document.get("admission", {})
    # Every instance uses the first port of the range for links, so the port of a seed is replaced.
    seeds = [seed.rpartition(":")[0] for seed in document.get("seeds") or ()]
    return InstanceSettings(
        name=document["node"],
        zone=document["zone"],
        callers=_read_listening_address(listen, "front"),
        readiness=_read_listening_address(listen, "ready"),
        reports=_read_listening_address(listen, "control"),
        link=parse_address(f"{ip}:{first_port}"),
        advertised=document.get("advertised") or f"{ip}:{first_port}",
        metrics=parse_address(f"{ip}:{last_port}"),
        entries=tuple(str(parse_address(f"{seed}:{first_port}")) for seed in seeds),
        runner=parse_address(document["app"]) if document.get("app") else None,
        service=document.get("service") or "",
        store=parse_address(document["platform"]["address"]),
        grace_seconds=document["bounds"]["grace-s"],
        remote_factor=document["bounds"].get("remote-factor", DEFAULT_REMOTE_FACTOR),
        retry_seconds=document["bounds"].get("retransmit-ms", DEFAULT_RETRY_MS) / 1000,
        max_link_share=document.get("max-link-share", DEFAULT_MAX_LINK_SHARE),
        memory_bytes=int((limits.get("memory-mb") or 0) * (1 << 20)),
        max_descriptors=int(limits.get("max-fds") or 0),
        connection_limits=_build_connection_limits(document.get("connection-limits", {})),
        refuses_early=admission.get("early-refusal", False),
        least_share=admission.get("least-share", 0.0),
    )


def _build_connection_limits(document: ConnectionsDocument) -> ConnectionLimits:
    # Applications limit bodies themselves, by the configuration in force.
    limits = {name.replace("-", "_"): value for name, value in document.items()}
    return ConnectionLimits(**{"body_bytes": sys.maxsize, **limits})


def _read_listening_address(listen: ListenDocument, name: str) -> Address | None:
    return parse_address(listen[name]) if listen.get(name) else None
