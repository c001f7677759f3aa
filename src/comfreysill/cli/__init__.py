"""The command-line tool for operators and callers."""
