"""Base of the settings that the stand-ins take on `POST /control`."""

import typing

import msgspec


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settable faults; a JSON document changes some of them."""

    def changed(self, document: bytes) -> typing.Self:
        """Return the settings after a JSON document changed some of them.

        Raises:
          msgspec.DecodeError: If the document is not a JSON object, names
            an unknown setting or has a value of another type.
        """
        changes = msgspec.json.decode(document, type=dict[str, typing.Any])
        known = msgspec.to_builtins(self)
        return msgspec.convert({**known, **changes}, type(self))
