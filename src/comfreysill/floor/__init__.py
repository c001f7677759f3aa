"""The floor document: teams, services and limits."""
