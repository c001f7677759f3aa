"""Settings of the fuzzers: the same examples in each run, or those of the seed FUZZ_SEED."""

import os

from hypothesis import HealthCheck, Phase, given, seed, settings

SEED = os.environ.get("FUZZ_SEED")
if SEED is not None:
    print(f"FUZZ_SEED={SEED}")


def fuzz(examples, *strategies):
    """Returns a decorator that runs a test with drawn input."""

    def decorate(test):
        test = settings(
            max_examples=examples,
            deadline=None,
            derandomize=SEED is None,
            database=None,
            print_blob=True,
            suppress_health_check=list(HealthCheck),
            phases=(Phase.explicit, Phase.generate, Phase.shrink),
        )(given(*strategies)(test))
        return apply_seed(test)

    return decorate


def apply_seed(test):
    """Sets the seed of a test or of a state machine, if one is given."""
    return seed(int(SEED))(test) if SEED is not None else test
