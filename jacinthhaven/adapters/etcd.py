"""Store kind `etcd`: client of the JSON gateway of the etcd v3 API."""

from jacinthhaven.adapters import (
    etcd_answers,
    etcd_calls,
    etcd_watch,
    http_client,
    http_store,
)
from jacinthhaven.kernel import failures, plugins
from jacinthhaven.records import store


@plugins.register(plugins.STORE_KIND, 'etcd')
class EtcdStore(http_store.HttpStore):
    """Task that owns the connections to the store."""

    def send(self, client: http_client.Client, request: store.Request) -> None:
        """Send the request of a call."""
        client.send(*etcd_calls.encode(request))

    def decode(
        self,
        request: store.Request,
        status: int,
        body: bytes,
    ) -> store.Reply | failures.Failure:
        """Return the reply in an answer."""
        try:
            return etcd_answers.decode(request, status, body)
        except etcd_answers.MALFORMED as error:
            raise http_store.MalformedAnswerError(str(error)) from error

    def new_watch(self, client: http_client.Client) -> http_store.Watch:
        """Return a watch that owns a new connection."""
        return etcd_watch.Watch(self.poller, client)
