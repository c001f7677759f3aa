"""Connections of clients: what one may cost, and whom to turn away when they cost too much."""
