"""Exit codes of the command line and the errors that lead to them."""

import enum
import typing


class ExitCode(enum.IntEnum):
    """Documented exit codes of all commands."""

    OK = 0
    REFUSED = 1
    UNREADABLE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class CommandError(Exception):
    """A command failed; the message is shown to the operator.

    Attributes:
      exit_code: Exit code of the process.
      code: Stable identifier of the error.
      document: Error document of the proxy, or further details.
    """

    exit_code = ExitCode.REFUSED
    code = 'error'

    def __init__(
        self,
        detail: str,
        document: dict[str, typing.Any] | None = None,
    ) -> None:
        """Remember the explanation and the error document."""
        super().__init__(detail)
        self.detail = detail
        self.document = document or {}

    def as_document(self) -> dict[str, typing.Any]:
        """Return the machine-readable form of the error."""
        return {
            'error': self.code,
            'detail': self.detail,
            **self.document,
            'exit_code': int(self.exit_code),
        }


class RefusedError(CommandError):
    """The proxy refused the request; nothing was changed."""

    exit_code = ExitCode.REFUSED
    code = 'refused'


class UnusableInputError(CommandError):
    """A file or an option cannot be used; nothing was sent."""

    exit_code = ExitCode.UNREADABLE
    code = 'unreadable'


class UnreachableError(CommandError):
    """The proxy was not reached; nothing was changed."""

    exit_code = ExitCode.UNREACHABLE
    code = 'unreachable'


class UnknownOutcomeError(CommandError):
    """A change was sent, but whether it took effect is not known."""

    exit_code = ExitCode.UNKNOWN
    code = 'outcome_unknown'
