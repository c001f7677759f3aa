import socket
import unittest

from comfreysill.address import Address
from comfreysill.exceptions import ComfreysillError
from comfreysill.listeners import open_listener


class TestListeners(unittest.TestCase):
    def test_connections_are_queued_until_accepted(self):
        listener = open_listener(Address(host="127.0.0.1", port=0))
        self.addCleanup(listener.close)
        with socket.create_connection(listener.getsockname(), timeout=5) as caller:
            caller.sendall(b"x")
            accepted, _ = listener.accept()
            with accepted:
                accepted.settimeout(5)
                self.assertEqual(accepted.recv(1), b"x")

    def test_port_in_use_is_reported(self):
        listener = open_listener(Address(host="127.0.0.1", port=0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        with self.assertRaises(ComfreysillError) as caught:
            open_listener(Address(host="127.0.0.1", port=port))
        self.assertIn(str(port), str(caught.exception))
