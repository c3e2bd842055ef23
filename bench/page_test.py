"""Test of the capacity page."""

from bench import page


def test_page_has_the_measured_figures():
    """Guards against a page whose table differs from the results."""
    shown = page.PAGE.read_text()
    assert page.with_table(shown) == shown
