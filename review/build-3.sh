#!/bin/sh
# Makes what the stand-ins of the cases 11 to 15 need: the declared packages in .venv.
# The build of the deploy file has to run before.
set -e
cd "$(dirname "$0")/.."
make .venv/ready
