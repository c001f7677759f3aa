"""Jobs of the job API, their tasks and their answers."""
