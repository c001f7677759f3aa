"""The mutations of `tests.mutations` replace what exists."""

import unittest

from tests.mutations import MUTATIONS, resolve_path


class TestMutations(unittest.TestCase):
    # Guards against a mutation that changes nothing, as what it replaces was renamed.
    def test_each_mutation_replaces_something_that_exists(self):
        for path, _ in MUTATIONS.values():
            self.assertIsNotNone(resolve_path(path), path)


if __name__ == "__main__":
    unittest.main()
