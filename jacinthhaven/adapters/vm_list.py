"""Client of the platform's VM list: `GET /vms` returns a JSON array."""

import http
import typing

import msgspec

from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.decide import messages
from jacinthhaven.ports import vms
from jacinthhaven.records import topology

_LEAVING = 'leaving'


class Vm(msgspec.Struct):
    """One entry of the VM list.

    Attributes:
      name: Name of the VM.
      address: IP address of the VM.
      zone: Availability zone.
      state: `live` or `leaving`.
    """

    name: str
    address: str = ''
    zone: str = ''
    state: str = 'live'


class HttpVmList(vms.VmList):
    """Reader of the VM list; each read opens a new connection."""

    def __init__(
        self,
        loop: poller.Poller,
        address: tuple[str, int],
        instances: typing.Iterable[topology.Instance],
        deliver: typing.Callable[[messages.VmListUpdate], None],
    ) -> None:
        """Create a reader.

        Args:
          loop: Poller that watches the socket.
          address: IP address and port of the server of the list.
          instances: Backend servers, matched to VMs by name or IP address.
          deliver: Called after each successful read with the names of the
            instances whose VMs are leaving.
        """
        super().__init__(deliver)
        self.poller = loop
        self.address = address
        self.instances = tuple(instances)
        self.client: http_client.Client | None = None
        self.decode = msgspec.json.Decoder(list[Vm]).decode

    def read(self) -> None:
        """Start a read; a read that is still pending is canceled."""
        if self.client is not None:
            self.client.close()
        self.client = http_client.Client(self.poller, self.address)
        self.client.on_open = self._on_open
        self.client.on_reply = self._on_reply

    def _on_open(self) -> None:
        self.client.get('/vms')

    def _on_reply(self, message: http_messages.Message) -> None:
        self.client.close()
        if message.status != http.HTTPStatus.OK:
            return
        try:
            entries = self.decode(message.body)
        except msgspec.MsgspecError:
            return
        leaving = [vm for vm in entries if vm.state == _LEAVING]
        self.deliver(
            messages.VmListUpdate(
                frozenset(
                    instance.name
                    for instance in self.instances
                    if any(_runs_on(instance, vm) for vm in leaving)
                ),
            ),
        )


def _runs_on(instance: topology.Instance, vm: Vm) -> bool:
    return instance.name == vm.name or instance.host == vm.address
