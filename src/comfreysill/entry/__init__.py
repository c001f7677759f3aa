"""The entry process of the job API: accepts jobs from callers and starts their tasks on targets.

Its counterpart on the platform is `comfreysill.gateway`.
"""
