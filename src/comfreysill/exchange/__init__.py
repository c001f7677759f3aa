"""Messages between entries and agents, and the values that both know."""
