"""The floor document of the job API: versioned settings of teams, services and limits."""
