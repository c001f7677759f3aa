"""Protobuf encoding of the messages between processes; the generated modules are committed."""
