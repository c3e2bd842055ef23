"""Store kind `etcd`: client of the JSON gateway of the etcd v3 API."""

from jacinthhaven.adapters import (
    etcd_answers,
    etcd_calls,
    etcd_watch,
    http_client,
    http_messages,
    http_store,
)
from jacinthhaven.kernel import failures, plugins
from jacinthhaven.records import store


@plugins.register(plugins.STORE_KIND, 'etcd')
class EtcdStore(http_store.HttpStore):
    """Client that owns the connections to an etcd cluster."""

    def send(self, client: http_client.Client, request: store.Request) -> None:
        """Encode a request and send it on a connection."""
        client.send(*etcd_calls.encode(request))

    def decode(
        self,
        request: store.Request,
        message: http_messages.Message,
    ) -> store.Reply | failures.Failure:
        """Decode an HTTP response to the reply of the store."""
        try:
            return etcd_answers.decode(request, message.status, message.body)
        except etcd_answers.MALFORMED as error:
            raise http_store.MalformedAnswerError(str(error)) from error

    def new_watch(self, client: http_client.Client) -> http_store.Watch:
        """Return a watch that takes ownership of a new connection."""
        return etcd_watch.Watch(self.poller, client)
