"""Decisions of an owner entry: admission, ownership, scheduling order and placement."""
