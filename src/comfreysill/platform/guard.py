"""Limits of the connections of clients of a process on the platform."""

import sys

from comfreysill.connection_guard import ConnectionGuard
from comfreysill.platform.settings import InstanceSettings
from comfreysill.servers import build_guard


def build_platform_guard(settings: InstanceSettings) -> ConnectionGuard:
    """Builds the limits from the settings of the instance.

    Bodies are limited by the applications, which know the configured sizes.
    """
    return build_guard(settings.max_descriptors, settings.memory_bytes, sys.maxsize)
