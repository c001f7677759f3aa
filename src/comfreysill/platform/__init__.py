"""Adapter to the platform: its store, its runners, its settings file and its HTTP interface."""
