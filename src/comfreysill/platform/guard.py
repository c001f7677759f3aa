"""Limits of the connections of clients of a process on the platform."""

from comfreysill.connection_guard import ConnectionGuard
from comfreysill.platform.settings import InstanceSettings
from comfreysill.servers import build_guard


def build_platform_guard(settings: InstanceSettings) -> ConnectionGuard:
    """Builds the limits from the settings of the instance."""
    return build_guard(settings.connection_limits, settings.max_descriptors, settings.memory_bytes)
