"""Tests of the start of a stand-in process."""

import pytest

from jacinthhaven.adapters import http_server
from jacinthhaven.standins import driver, process


def test_port_of_another_process_is_refused():
    """Guards against two groups whose connections are mixed on one port."""
    server = http_server.Server(driver.Driver().loop, print)
    port = server.listen((process.HOST, 0))
    with pytest.raises(OSError, match='in use'):
        process.require_free(port)
    server.stop_accepting()
    process.require_free(port)
