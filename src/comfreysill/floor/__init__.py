"""The floor document: teams, services, limits and their versions."""
