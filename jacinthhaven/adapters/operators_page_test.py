"""Tests that the operators' page names every setting and its default."""

import pathlib
import re
import typing

import msgspec
import pydantic

from jacinthhaven.records import presets, settings

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'operators.md'
ROW = re.compile(r'^\| `([^`|]+)` \| [^|]+ \| ([^|]+) \| [^|]+ \|$', re.M)


def _find_model(annotation):
    found = [annotation, *typing.get_args(annotation)]
    models = [
        part
        for part in found
        if isinstance(part, type) and issubclass(part, pydantic.BaseModel)
    ]
    return models[0] if models else None


def _setting_defaults(model, prefix=''):
    for name, field in model.model_fields.items():
        nested = _find_model(field.annotation)
        if nested is None:
            default = 'required' if field.is_required() else field.default
            yield f'{prefix}{name}', str(default).replace('None', 'none')
            continue
        is_list = typing.get_origin(field.annotation) is list
        path = f'{prefix}{name}[].' if is_list else f'{prefix}{name}.'
        yield from _setting_defaults(nested, path)


def test_every_setting_and_parameter_is_documented():
    """Guards against settings without documentation or a wrong default."""
    rows = ROW.findall(PAGE.read_text())
    documented = dict(rows)
    assert len(rows) == len(documented)
    expected = dict(_setting_defaults(settings.Settings))
    for name, default in msgspec.to_builtins(presets.Preset()).items():
        expected[name] = str(default)
    assert documented == expected
