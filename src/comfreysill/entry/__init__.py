"""The process that takes jobs from callers and starts their tasks at targets."""
