"""The entry process, which accepts jobs from callers and starts their tasks on targets."""
