"""Messages between entries and agents, and the constants that both use."""
