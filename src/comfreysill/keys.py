"""API keys of operators and teams, which are stored only as salted hashes."""

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
    """Returns the salted hash of a key, in the format of the floor document."""
    salt = secrets.token_bytes(SALT_BYTES)
    return f"blake2b:{salt.hex()}:{_digest(key, salt).hex()}"


def matches_any(key: str, hashes: Iterable[str]) -> bool:
    """Returns whether a key matches any of the hashes.

    Compares all hashes, each in constant time, so that the duration reveals nothing about them.
    """
    matched = False
    for hash_text in hashes:
        _, salt, digest = hash_text.split(":")
        is_match = hmac.compare_digest(_digest(key, bytes.fromhex(salt)), bytes.fromhex(digest))
        matched = matched or is_match
    return matched


def _digest(key: str, salt: bytes) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, salt=salt).digest()
