"""Jobs, their tasks and their answers."""
