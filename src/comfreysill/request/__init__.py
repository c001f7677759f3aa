"""The request aggregate: a job of steps whose caller waits at this entry for the verdict."""
