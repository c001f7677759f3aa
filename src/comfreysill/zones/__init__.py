"""Availability zones that the operator has closed for new starts."""
