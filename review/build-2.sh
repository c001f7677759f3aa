#!/bin/sh
# Builds what the stand-ins of the cases 6 to 10 need: the virtual environment with the declared
# packages. The programs under test use target/deps, which the build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
make .venv/ready
