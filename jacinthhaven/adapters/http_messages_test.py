"""Tests of the HTTP parser's limits and message boundaries."""

import http

import pytest

from jacinthhaven.adapters import http_messages


def test_requests_split_at_any_byte():
    """Guards against losing a request that arrives in small pieces."""
    raw = http_messages.format_request('/a', b'{"x":1}')
    parser = http_messages.Parser(response=False)
    messages = []
    for byte in raw:
        messages += parser.feed(bytes([byte]))
    assert [(found.path, found.body) for found in messages] == [
        ('/a', b'{"x":1}'),
    ]
    assert parser.idle


def test_body_limit():
    """Guards against buffering an unbounded body."""
    parser = http_messages.Parser(response=False, max_body=4)
    with pytest.raises(http_messages.BadMessageError) as caught:
        parser.feed(http_messages.format_request('/a', b'12345'))
    assert caught.value.status == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


def test_head_limit():
    """Guards against buffering headers that never end."""
    parser = http_messages.Parser(response=False)
    parser.feed(b'POST /a HTTP/1.1\r\n')
    with pytest.raises(http_messages.BadMessageError) as caught:
        for _ in range(1000):
            parser.feed(b'x-header: %s\r\n' % (b'y' * 80))
    assert caught.value.status == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


def test_header_parser_collects_headers():
    """Guards against ignoring the key in the `Authorization` header."""
    raw = http_messages.format_request('/a', b'', 'Authorization: Bearer k\r\n')
    parser = http_messages.HeaderParser(response=False)
    assert parser.feed(raw)[0].headers['authorization'] == 'Bearer k'


def test_malformed_request():
    """Guards against an unexpected exception for bytes that are not HTTP."""
    parser = http_messages.Parser(response=False)
    with pytest.raises(http_messages.BadMessageError) as caught:
        parser.feed(b'\x00\x01 nonsense\r\n\r\n')
    assert caught.value.status == http.HTTPStatus.BAD_REQUEST


def test_response_roundtrip():
    """Guards against a response without its status or body."""
    parser = http_messages.Parser(response=True)
    raw = http_messages.format_response(409, b'{}', keep_alive=False)
    message = parser.feed(raw)[0]
    assert (message.status, message.body, message.keep_alive) == (
        409,
        b'{}',
        False,
    )
