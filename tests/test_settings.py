import unittest

from comfreysill.exceptions import DocumentError
from comfreysill.schemas import check_document, load_yaml
from comfreysill.settings import SETTINGS_SCHEMA

VALID_SETTINGS = """
role: entry
name: entry-1
zone: luzon-a
listen: {http: 127.0.0.1:8080, grpc: 127.0.0.1:8081}
platform: {table: 'http://127.0.0.1:9000'}
"""


def find_errors(text):
    try:
        check_document(load_yaml(text, "s.yaml"), SETTINGS_SCHEMA, "s.yaml")
    except DocumentError as error:
        return [(problem.path, problem.hint) for problem in error.problems]
    return []


class SettingsTest(unittest.TestCase):
    def test_valid_settings_have_no_errors(self):
        self.assertEqual(find_errors(VALID_SETTINGS), [])

    def test_unknown_key_is_an_error_with_a_hint(self):
        self.assertEqual(
            find_errors(VALID_SETTINGS + "zoen: x\n"), [("zoen", "did you mean 'zone'?")]
        )

    def test_all_errors_are_reported_with_paths(self):
        text = VALID_SETTINGS.replace("127.0.0.1:8080", "localhost").replace(
            "role: entry", "role: unknown"
        )
        self.assertEqual({path for path, _ in find_errors(text)}, {"listen.http", "role"})

    def test_invalid_yaml_error_states_line(self):
        with self.assertRaises(DocumentError) as caught:
            load_yaml("a: [1,\nb: 2", "s.yaml")
        self.assertIn("line", caught.exception.problems[0].path)
