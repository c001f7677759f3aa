"""Crashes of runners, the tasks that may have caused them, and what follows for these tasks."""
