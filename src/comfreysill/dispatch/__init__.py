"""Decisions of an entry: admission, ownership, order of work and placement."""
