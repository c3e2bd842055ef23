"""Connection options that all operator commands share."""

import dataclasses
import functools
import inspect
import ssl
import typing

import typer

from jacinthhaven.adapters import text_file
from jacinthhaven.cli import exits, operator_client, output

AddressOption = typing.Annotated[
    str,
    typer.Option(
        envvar='JACINTHHAVEN_ADDRESS',
        metavar='HOST:PORT',
        help='Operator endpoint of any proxy of the cluster.',
    ),
]
KeyFileOption = typing.Annotated[
    str,
    typer.Option(
        envvar='JACINTHHAVEN_KEY_FILE',
        metavar='FILE',
        help='File with the operator key.',
    ),
]
TlsCaOption = typing.Annotated[
    str,
    typer.Option(
        envvar='JACINTHHAVEN_TLS_CA',
        metavar='FILE',
        help='CA certificates in PEM format. Without it, the connection is '
        'not encrypted.',
        show_default=False,
    ),
]
TimeoutOption = typing.Annotated[
    float,
    typer.Option(
        min=0.1,
        metavar='SECONDS',
        help='Longest wait for the answer. If the answer to a change is '
        'lost, its outcome is read back for as long again.',
    ),
]
JsonOption = typing.Annotated[
    bool,
    typer.Option('--json', help='Print JSON for programs.'),
]

Command = typing.Callable[..., None]

_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """Client and output format chosen by the options."""

    client: operator_client.Client
    json: bool


def connected(command: Command) -> Command:
    """Decorate a command whose first parameter is a `Connection`.

    The result takes the connection options in addition to the command's
    own parameters, so that typer offers them, and turns command errors
    into exit codes.
    """
    common = inspect.signature(_connect).parameters
    own = tuple(inspect.signature(command).parameters.values())[1:]

    @functools.wraps(command)
    def run(**options: typing.Any) -> None:  # noqa: WPS430
        chosen = {name: options.pop(name) for name in common}
        try:
            command(_connect(**chosen), **options)
        except exits.CommandError as error:
            output.fail(error, chosen['json'])

    merged = [*own, *common.values()]
    run.__signature__ = inspect.Signature(merged)
    run.__annotations__ = {
        parameter.name: parameter.annotation for parameter in merged
    }
    return run


def _connect(
    *,
    address: AddressOption,
    key_file: KeyFileOption,
    tls_ca: TlsCaOption = '',
    timeout: TimeoutOption = 15,
    json: JsonOption = False,
) -> Connection:
    host, port = _split_address(address)
    try:
        key = text_file.read_key(key_file)
    except text_file.UnreadableFileError as error:
        raise exits.UnusableInputError(str(error)) from error
    client = operator_client.Client(host, port, key, timeout_s=timeout)
    if tls_ca:
        client.tls = _tls_context(tls_ca)
    return Connection(client, json)


def _split_address(address: str) -> tuple[str, int]:
    host, _colon, port = address.rpartition(':')
    if not host or not port.isdecimal() or int(port) > _MAX_PORT:
        raise exits.UnusableInputError(
            f'address {address!r} is not of the form HOST:PORT',
        )
    return host.strip('[]'), int(port)


def _tls_context(name: str) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=name)
    except OSError as error:
        raise exits.UnusableInputError(f'{name}: {error}') from error
