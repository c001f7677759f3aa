"""The request aggregate on the platform: steps of tasks whose caller waits for the verdict."""
