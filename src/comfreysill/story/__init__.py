"""The story of one request, put together from the log lines of several processes."""
