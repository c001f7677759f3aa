"""Claims on requests: which entry may place the tasks of a request."""
