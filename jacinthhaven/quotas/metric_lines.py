"""State of the customers at one node as lines of the metrics page."""

import typing

from jacinthhaven.quotas import quotas

_PREFIX = 'jacinthhaven_customer'
# Characters with a meaning in a label of the page.
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


def format_states(
    states: typing.Mapping[str, quotas.State],
) -> typing.Iterator[str]:
    """Return the lines for all customers with a limit.

    Args:
      states: States by name of the customer.
    """
    for name, state in states.items():
        rate_per_s = state.limit.rate_per_s
        burst = state.limit.burst
        customer = f'customer="{name.translate(_ESCAPES)}"'
        label = f'{{{customer}}}'
        yield f'{_PREFIX}_rate_per_s{label} {rate_per_s}'
        yield f'{_PREFIX}_burst{label} {burst}'
        yield f'{_PREFIX}_admitted_total{label} {state.admitted}'
        yield f'{_PREFIX}_refused_total{label} {state.refused}'
        known = state.accountant.translate(_ESCAPES)
        label = f'{{{customer},accountant="{known}"}}'
        yield f'{_PREFIX}_accountant_here{label} {int(state.acting)}'
