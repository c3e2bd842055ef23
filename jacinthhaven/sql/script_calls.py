"""Performs the calls of scripts: waits, control commands and orders."""

import typing

from jacinthhaven.sql import (
    fan_out,
    group,
    node_context,
    ports,
    scripts,
    store_calls,
)


class ScriptCalls:
    """Performs the calls of the scripts of one node.

    Attributes:
      store_calls: Calls to the store.
      sleepers: Timers of suspended scripts.
      now_ms: Current time.
    """

    def __init__(
        self,
        groups: typing.Mapping[str, group.Group],
        adapters: node_context.Adapters,
        calls: store_calls.StoreCalls,
    ) -> None:
        """Start without scripts.

        Args:
          groups: Service groups by service name.
          adapters: Adapters of the node.
          calls: Calls to the store.
        """
        self.groups = groups
        self.adapters = adapters
        self.store_calls = calls
        self.sleepers = scripts.Timers()
        self.now_ms = 0

    def tick(self, now_ms: int) -> None:
        """Resume the scripts whose waits are over."""
        self.now_ms = now_ms
        self.sleepers.fire(now_ms)

    def perform(
        self,
        service: str,
        call: scripts.Call,
        on_result: scripts.OnResult,
    ) -> None:
        """Perform one call and pass its result on.

        Args:
          service: Service of the script.
          call: Call to perform.
          on_result: Called with the result.
        """
        match call:
            case scripts.Sleep(delay_ms=delay_ms):
                self.sleepers.add(self.now_ms + delay_ms, on_result)
            case scripts.Broadcast():
                fan_out.FanOut(self.groups[service], call, on_result).start(
                    self.now_ms
                )
            case scripts.Promote():
                self._promote(call, on_result)
            case _:
                self.store_calls.call(call, on_result)

    def _promote(
        self,
        call: scripts.Promote,
        on_result: ports.OnOrder,
    ) -> None:
        """Order a promotion unless another node may now be in charge of it.

        The clock is read again because the process may have been suspended
        since its last tick.
        """
        if self.adapters.clock.now_ms() >= call.until_ms:
            on_result(ports.OrderResult(False, True, 'duty expired'))
            return
        self.adapters.platform.promote(
            call.service,
            call.instance,
            call.fence,
            on_result,
        )
