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
    """Raised when a public function receives a value it can't accept."""


class SettingsInvalidError(GuavawingError):
    """Raised when the settings file of a process can't be used.

    The message names the file, section, key, the value and what was
    expected.
    """


class ConfigInvalidError(GuavawingError):
    """Raised when a configuration document breaks a rule.

    Attributes:
        faults: Every broken rule found, with its place in the document.
    """

    def __init__(self, faults: "tuple[object, ...]") -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class MessageInvalidError(GuavawingError):
    """Raised when bytes from a peer or a caller are not a valid message."""


class RequestUnreadableError(GuavawingError):
    """Raised when bytes of a client are no request that can be served.

    Attributes:
        status: HTTP status that says why.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class NodeReplacedError(GuavawingError):
    """Raised when a node stopped for another process under its id.

    Attributes:
        node_id: The id.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__(
            f"another process runs under node id {node_id}; this one, as a"
            " rule the older, has finished its calls and stopped"
        )
        self.node_id = node_id


class ControlError(GuavawingError):
    """Raised when a control request to another node fails."""


class PlatformError(GuavawingError):
    """Base of the errors of the platform's table service and object store."""


class PlatformUnavailableError(PlatformError):
    """Raised when the platform did not carry out a request.

    Nothing was written. The request can be repeated.
    """


class PlatformWriteUnknownError(PlatformError):
    """Raised when a write got no answer and may have taken effect."""


class TransactionRefusedError(PlatformError):
    """Raised when a row does not have the version that a write expects."""


class HistoryLostError(PlatformError):
    """Raised when the store no longer has the changes that were asked for."""


class PlatformDataInvalidError(PlatformError):
    """Raised when a row or an object that the platform holds is damaged."""


class VersionPrunedError(PlatformError):
    """Raised when an old version was removed from the platform.

    Attributes:
        version: The version.
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
    """Raised when a change id stands for another document already.

    Attributes:
        change_id: The id.
        version: Version that the first change of this id created.
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
