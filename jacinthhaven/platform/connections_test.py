"""Tests of the limits on received lines and of the line reader."""

import itertools

from jacinthhaven.limits import kept_texts
from jacinthhaven.platform import words


def test_small_pieces_copy_only_the_last_block():
    """Guards against copying the whole rest of a line for each piece."""
    reader = words.LineReader()
    longest = 0
    for piece in itertools.repeat(b'x' * 16, 32_000):
        reader.feed(piece)
        longest = max(longest, len(reader.pending))
    assert longest < 20_000
    assert reader.feed(b'\r\n') == ['x' * 512_000]
    assert reader.size == 0


def test_any_cut_gives_the_same_lines():
    """Guards against an end of a line that is cut in two, also at a block."""
    chunk = words.encode(['x' * 16_384, 'y' * 40_000, '', 'z\rz'])
    whole = words.LineReader().feed(chunk)
    assert [len(line) for line in whole] == [16_384, 40_000, 0, 3]
    for cut in (1, 16_383, 16_384, 16_385, 16_386, 56_386, 56_387, 56_389):
        reader = words.LineReader()
        assert reader.feed(chunk[:cut]) + reader.feed(chunk[cut:]) == whole
        assert reader.size == 0


def test_longest_line_may_arrive_without_its_last_byte():
    """Guards against refusing the largest legal message by chance."""
    reader = words.LineReader()
    largest = words.encode(['x' * words.MAX_LINE_BYTES])
    reader.feed(largest[:-1])
    assert len(reader.feed(b'\n')[0]) == words.MAX_LINE_BYTES


def test_long_settings_are_kept_as_digests():
    """Guards against database connections that keep the texts of sessions."""
    assert kept_texts.shortened('utc') == 'utc'
    first, second = (kept_texts.shortened('x' * size) for size in (65, 66))
    assert first != second
    assert len(first) < 64
