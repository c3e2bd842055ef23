"""Writes the table of the latest results into docs/CAPACITY.md."""

import sys

from bench import results

PAGE = results.ROOT / 'docs' / 'CAPACITY.md'
_FIRST_LINE = '| measurement | figure |'


def with_table(page: str) -> str:
    """Return the page with the table of the results in `bench/out`.

    Args:
      page: Text of the page; the table is its last part.
    """
    before = page[: page.index(_FIRST_LINE)]
    table = results.table(results.read())
    return f'{before}{table}\n'


def run() -> int:
    """Replace the table and return the exit code."""
    PAGE.write_text(with_table(PAGE.read_text()))
    return 0


if __name__ == '__main__':
    sys.exit(run())
