"""Prints the summary of a run that several processes shared.

Usage: merge_reports FOLDER EXIT_CODE...

The report of the process with the Nth exit code is the file N.json in the
folder, counted from 1. A process counts as failed test if it left no report, or
if its exit code tells of a failure that isn't in its report.
"""

from __future__ import annotations

import pathlib
import sys

import pydantic

from tools import run_report

__all__ = ["read_report"]


def read_report(path: pathlib.Path, exit_code: int) -> run_report.RunReport:
    """Returns the report of a process that has ended.

    Args:
      path: file to which the process wrote its report.
      exit_code: exit code of the process.
    """
    try:
        report = run_report.RunReport.model_validate_json(path.read_bytes())
    except (OSError, pydantic.ValidationError):
        name = f"process {path.stem} (no report, exit code {exit_code})"
        return run_report.RunReport(failed={name})
    if exit_code and not report.failed:
        report.failed.add(f"process {path.stem} (exit code {exit_code})")
    return report


def main(arguments: list[str]) -> int:
    """Prints the summary of a run and returns its exit code."""
    folder, codes = pathlib.Path(arguments[0]), map(int, arguments[1:])
    merged = run_report.merge_reports(
        read_report(folder / f"{number}.json", code)
        for number, code in enumerate(codes, start=1)
    )
    for name in sorted(merged.failed):
        print(f"failed: {name}")
    print("\n".join(merged.lines()))
    return 0 if merged.successful else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
