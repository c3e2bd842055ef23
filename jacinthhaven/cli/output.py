"""Output of documents and errors, for people or as JSON."""

import io
import typing

import msgspec
import typer
from ruamel import yaml

from jacinthhaven.cli import exits

Fields = dict[str, typing.Any]


def as_yaml(document: typing.Any) -> str:
    """Return a document as YAML that `config apply` can read."""
    stream = io.StringIO()
    dumper = yaml.YAML()
    dumper.default_flow_style = False
    dumper.dump(document, stream)
    return stream.getvalue().rstrip()


def as_json(document: typing.Any) -> str:
    """Return a document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def show(document: Fields, text: str, json: bool) -> None:
    """Print a document as JSON, or the text that describes it."""
    typer.echo(as_json(document) if json else text)


def fail(error: exits.CommandError, json: bool) -> typing.NoReturn:
    """Print an error and end the command with its exit code.

    Raises:
      typer.Exit: Always.
    """
    document = error.as_document()
    if json:
        typer.echo(as_json(document))
    else:
        typer.echo(f'error: {document["error"]}: {error.detail}', err=True)
        revision = document.get('revision')
        if revision is not None:
            typer.echo(f'current revision: {revision}', err=True)
        for detail in document.get('errors', ()):
            typer.echo(f'  {error_line(detail)}', err=True)
    raise typer.Exit(int(error.exit_code))


def error_line(detail: typing.Any) -> str:
    """Return one line for an error with an optional place."""
    if not isinstance(detail, dict):
        return str(detail)
    places = [detail.get(key) for key in ('file', 'line', 'column')]
    path = detail.get('path', '')
    parts = (
        ':'.join(str(place) for place in places if place),
        path,
        detail.get('message', ''),
    )
    return ': '.join(part for part in parts if part)
