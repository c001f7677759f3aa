import math

from comfreysill.request.types import CallerWait


def build_wait(now, seconds=math.inf, unread_seconds=0.0):
    """Returns the wait of a caller whose request is read now, perhaps after it lay unread."""
    return CallerWait(sent_after=now - unread_seconds, read_at=now, ends_at=now + seconds)
