"""Parts that the settings of all kinds of processes share."""

import typing

import pydantic
import pydantic_core


def error(code: str, message: str) -> pydantic_core.PydanticCustomError:
    # The messages are final; braces in them are not format fields.
    return pydantic_core.PydanticCustomError(code, '{text}', {'text': message})


def _destination(text: str) -> str:
    if text != 'stdout' and not text.startswith('/'):
        raise error(
            'destination',
            'destination is neither `stdout` nor an absolute file name',
        )
    return text


class Model(pydantic.BaseModel):
    """Base of all settings: unknown keys and implicit conversions fail."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
    )


class Log(Model):
    """Destination of the log.

    Attributes:
      level: Lowest level that is written.
      destination: `stdout` or an absolute file name.
      flush_ms: Longest time in milliseconds that a line stays buffered.
    """

    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'
    destination: typing.Annotated[
        str,
        pydantic.AfterValidator(_destination),
    ] = 'stdout'
    flush_ms: int = pydantic.Field(200, ge=1, le=10_000)
