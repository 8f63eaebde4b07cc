"""The exception tree of guavawing.

Every error raised on purpose derives from `GuavawingError`. A refusal of a
call is not an exception: it is a value of `guavawing.verdict`.
"""

__all__ = [
    "ChangeIdReusedError",
    "ConfigInvalidError",
    "ConflictingChangeError",
    "ControlError",
    "GuavawingError",
    "HistoryLostError",
    "InvalidArgumentError",
    "MessageInvalidError",
    "NodeReplacedError",
    "PlatformDataInvalidError",
    "PlatformError",
    "PlatformUnavailableError",
    "PlatformWriteUnknownError",
    "RequestUnreadableError",
    "SettingsInvalidError",
    "TransactionRefusedError",
    "VersionPrunedError",
]


class GuavawingError(Exception):
    """Base of every error that guavawing raises."""


class InvalidArgumentError(GuavawingError, ValueError):
    """Raised when an argument of a public function is invalid."""


class SettingsInvalidError(GuavawingError):
    """Raised when the settings file of a process is invalid.

    The message names the file, section, key, the value and what was
    expected.
    """


class ConfigInvalidError(GuavawingError):
    """Raised when a configuration document violates a rule.

    Attributes:
        faults: Every violation found, with its place in the document.
    """

    def __init__(self, faults: "tuple[object, ...]") -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class MessageInvalidError(GuavawingError):
    """Raised when bytes from a peer or a caller are not a valid message."""


class RequestUnreadableError(GuavawingError):
    """Raised when a client sends a malformed or unsupported request.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class NodeReplacedError(GuavawingError):
    """Raised when a node stopped because another process has its id.

    Attributes:
        node_id: The shared node id.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__(
            f"another process runs under node id {node_id}; this process,"
            " usually the older one, has finished its calls and stopped"
        )
        self.node_id = node_id


class ControlError(GuavawingError):
    """Raised when a control request to another node fails."""


class PlatformError(GuavawingError):
    """Base of the errors of the platform's table service and object store."""


class PlatformUnavailableError(PlatformError):
    """Raised when the platform did not execute a request.

    Nothing was written, so the request can be repeated safely.
    """


class PlatformWriteUnknownError(PlatformError):
    """Raised when a write was not answered and may have taken effect."""


class TransactionRefusedError(PlatformError):
    """Raised when a row does not have the version that a write expects."""


class HistoryLostError(PlatformError):
    """Raised when the store no longer has the requested changes."""


class PlatformDataInvalidError(PlatformError):
    """Raised when a row or an object in the platform is invalid."""


class VersionPrunedError(PlatformError):
    """Raised when a requested version was pruned from the platform.

    Attributes:
        version: The requested version.
        oldest: The oldest version whose document is kept.
    """

    def __init__(self, *, version: int, oldest: int, context: str = "") -> None:
        super().__init__(
            f"{context}version {version} was pruned; the oldest version kept is"
            f" {oldest}"
        )
        self.version = version
        self.oldest = oldest


class ChangeIdReusedError(PlatformError):
    """Raised when a change id was already used for another document.

    Attributes:
        change_id: The id.
        version: Version that the first change with this id created.
    """

    def __init__(self, *, change_id: str, version: int) -> None:
        super().__init__(
            f"change id {change_id} was used for another document, accepted"
            f" as version {version}"
        )
        self.change_id = change_id
        self.version = version


class ConflictingChangeError(PlatformError):
    """Raised when another operator's change was accepted first.

    Attributes:
        change_id: Id of the accepted change.
        version: Version that the accepted change created.
    """

    def __init__(self, *, change_id: str, version: int) -> None:
        super().__init__(
            f"change {change_id} was accepted first as version {version};"
            " read it with 'guavawing config show' and publish again"
        )
        self.change_id = change_id
        self.version = version
