"""Waits of tasks for places near their data: whether one pays, and how good forecasts were."""
