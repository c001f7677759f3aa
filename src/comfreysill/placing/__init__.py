"""The aggregate of an entry: requests that wait, targets, and which task goes where."""
