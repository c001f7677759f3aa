"""Keys of operators and teams: random, and held as salted hashes only."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

KEY_BYTES = 32
SALT_BYTES = 16
DIGEST_BYTES = 32


def make_key() -> str:
    """Returns a new random key."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Returns the salted hash of a key, as the floor document holds it."""
    salt = secrets.token_bytes(SALT_BYTES)
    return f"blake2b:{salt.hex()}:{_digest(key, salt).hex()}"


def matches_any(key: str, hashes: Iterable[str]) -> bool:
    """Tells whether a key belongs to one of the hashes.

    All hashes are compared, each in constant time, so that the time taken tells nothing.
    """
    found = False
    for entry in hashes:
        _, salt, digest = entry.split(":")
        same = hmac.compare_digest(_digest(key, bytes.fromhex(salt)), bytes.fromhex(digest))
        found = found or same
    return found


def _digest(key: str, salt: bytes) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, salt=salt).digest()
