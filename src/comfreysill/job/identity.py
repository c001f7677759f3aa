"""Issue time encoded in a job id."""

import re

_UUID7 = re.compile(
    r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$", re.IGNORECASE
)
_MILLISECONDS = 1000.0


def read_issue_time(job_id: str) -> float | None:
    """Returns the Unix time in seconds encoded in a UUID of version 7.

    Source: RFC 9562, section 5.7.

    Returns:
        None for an id in any other format.
    """
    if _UUID7.match(job_id) is None:
        return None
    return int(job_id[:8] + job_id[9:13], 16) / _MILLISECONDS
