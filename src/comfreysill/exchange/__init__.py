"""Messages between entries and agents on the platform, and the constants that both use."""
