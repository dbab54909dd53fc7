"""Runs the program: `python -m hickorygate`."""

from __future__ import annotations

from hickorygate.operators import main

if __name__ == "__main__":
    main.run()
