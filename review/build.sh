#!/usr/bin/env bash
# Makes what the stand-ins of the cases need: the project's virtual environment.
set -euo pipefail
cd "$(dirname "$0")/.."
make .venv/ready
