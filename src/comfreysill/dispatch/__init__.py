"""Decisions of an entry: admission, ownership, scheduling order and placement."""
