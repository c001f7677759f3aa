"""Explanation of one request from the log records of several processes."""
