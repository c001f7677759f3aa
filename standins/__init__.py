"""Stand-ins for the platform and the users' runners, for trials and tests on one machine."""
