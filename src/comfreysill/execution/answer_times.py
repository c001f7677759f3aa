"""Answer times of a runner, and the time after which a call counts as unanswered.

Mean and deviation are smoothed like the round-trip times of TCP (RFC 6298). A call that is given up
too early costs a renewal and a repeated start; one that is given up late delays its task.
"""

# Bounds of the time after which a call counts as unanswered.
MIN_PATIENCE_SECONDS = 0.03
MAX_PATIENCE_SECONDS = 0.1
# With fewer samples the maximum applies.
MIN_SAMPLES = 8
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# After a call without an answer, others may get none either for this long.
LOSS_SECONDS = 2.0
# Each call without an answer multiplies the time by this factor until the next answer.
BACKOFF_FACTOR = 2.0
MAX_BACKOFFS = 8


class AnswerTimes:
    """Smoothed answer times of one runner lifetime.

    Attributes:
        mean: Mean in seconds.
        deviation: Mean deviation in seconds.
        samples: Number of answers so far.
        silences: Number of calls without an answer since the last answer.
        lossy_until: Boot-clock time in seconds until which calls are expected to get lost.
    """

    __slots__ = ("mean", "deviation", "samples", "silences", "lossy_until")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.samples = 0
        self.silences = 0
        self.lossy_until = 0.0


def record_answer(times: AnswerTimes, seconds: float) -> None:
    """Takes in the time from a call to its answer."""
    if not times.samples:
        times.mean = seconds
        times.deviation = seconds / 2
    else:
        times.deviation += DEVIATION_WEIGHT * (abs(seconds - times.mean) - times.deviation)
        times.mean += MEAN_WEIGHT * (seconds - times.mean)
    times.samples += 1
    times.silences = 0


def record_silence(times: AnswerTimes) -> None:
    """Takes in that a call got no answer that had to be answered at once."""
    times.silences += 1


def record_loss(times: AnswerTimes, now: float) -> None:
    """Takes in that a call of any kind got no answer."""
    times.lossy_until = now + LOSS_SECONDS


def compute_patience(times: AnswerTimes) -> float:
    """Returns the seconds after which a call counts as unanswered."""
    if times.samples < MIN_SAMPLES:
        return MAX_PATIENCE_SECONDS
    seconds = max(MIN_PATIENCE_SECONDS, times.mean + DEVIATIONS * times.deviation)
    factor = BACKOFF_FACTOR ** min(times.silences, MAX_BACKOFFS)
    return min(MAX_PATIENCE_SECONDS, seconds * factor)
