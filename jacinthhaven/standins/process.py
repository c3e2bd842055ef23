"""Start of a stand-in process on its port."""

import socket
import sys

import circuits
import typer

from jacinthhaven.adapters import http_server

HOST = '127.0.0.1'


def run(server: http_server.Server, port: int) -> None:
    """Serve until SIGTERM, after printing `ready <port>`.

    Args:
      server: Server that does not listen yet.
      port: TCP port; 0 takes any free port.

    Raises:
      OSError: If another process listens on the port.
    """
    require_free(port)
    bound = server.listen((HOST, port))
    typer.echo(f'ready {bound}')
    sys.stdout.flush()
    application = circuits.Component()
    server.poller.register(application)
    application.run()


def require_free(port: int) -> None:
    """Check that no other process listens on a port.

    Listeners share their port with other processes. Two stand-ins on one
    port would each get a part of the connections, which mixes two groups.

    Raises:
      OSError: If another process listens on the port.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, port))
