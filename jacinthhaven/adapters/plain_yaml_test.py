"""Tests of the fast parser of simple YAML against the full one."""

import pytest

from jacinthhaven.adapters import plain_yaml, yaml_file

_PLAIN = (
    'a: 1\nbc:\n  d_e: "x y: #z"\n  f:\n    g: false\nh: [ "1", "b,c" ]\n',
    '# c\n\nnode: "n1" \nlisteners:\n  # c\n  peers: 10.0.0.5:7000\nx: 0.361',
    'a: 0\nb: 2.150\nc: []\nd: true\ne: 123456789012345\n',
)
_OTHER = (
    '',
    'a:\n',
    'a:\nb: 1\n',
    'a: 1\na: 2\n',
    'a: 1\n  b: 2\n',
    'a:\n    b: 2\n',
    'a:\n b: 2\n',
    'a: 1 # c\n',
    r'a: "\x41"',
    'a: "\u00e9"\n',
    'a: 1e3\n',
    'a: -1\n',
    'a: 010\n',
    'a: null\n',
    'a: yes\n',
    'a: word\n',
    "a: 'b'\n",
    'a: [1, 2]\n',
    'a: {"b": 1}\n',
    'a: 1.2.3:4\n',
    'a:1\n',
    'a: "b"\n"c": 1\n',
    '- a\n',
    'a: &x "b"\n',
    'a: 1\n---\nb: 1\n',
    'a: 1\r\n',
    '\ta: 1\n',
    'a: "b\n',
)


@pytest.mark.parametrize('text', _PLAIN)
def test_simple_text_is_read_like_the_full_parser_does(text):
    """Guards against settings that mean something else after a restart."""
    document = yaml_file.parse(text)
    assert not document.errors
    assert plain_yaml.parse(text) == document.root


@pytest.mark.parametrize('text', _OTHER)
def test_all_other_text_is_left_to_the_full_parser(text):
    """Guards against accepting what the full parser reads otherwise."""
    with pytest.raises(plain_yaml.NotPlainError):
        plain_yaml.parse(text)
