"""Starts a process of the system from a checkout: python3 deploy/comfreysill.py ROLE."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from comfreysill.launch import main  # noqa: E402

main()
