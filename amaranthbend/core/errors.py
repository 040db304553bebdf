"""Error types; each message says how to correct the error."""

__all__ = [
    "EXIT_BAD_SETTINGS",
    "AmaranthbendError",
    "ApprovalError",
    "ExplanationError",
    "PlatformError",
    "SettingsError",
]

# Exit status of a program whose settings are not valid.
EXIT_BAD_SETTINGS = 2


class AmaranthbendError(Exception):
    """Base class of the errors that the package raises or returns."""


class SettingsError(AmaranthbendError):
    """A settings file, or the result of merging the files, is not valid.

    Parameters
    ----------
    file : str
        File name.
    line : int
        Line in the file, from 1; 0 if the error is not on a single line.
    setting : str
        Dotted path of the setting.
    problem : str
        What is wrong, with the invalid value and the valid ones.
    remedy : str
        How to correct it.
    """

    def __init__(self, file: str, line: int, setting: str, problem: str, remedy: str) -> None:
        super().__init__(f"{file}:{line}: {setting}: {problem}; {remedy}")
        self.file = file
        self.line = line
        self.setting = setting
        self.problem = problem
        self.remedy = remedy


class ApprovalError(AmaranthbendError):
    """A settings envelope lacks valid approvals, or would replace a later one."""


class ExplanationError(AmaranthbendError):
    """A request cannot be explained.

    Parameters
    ----------
    problem : str
        What is wrong.
    remedy : str
        How to correct it.
    is_temporary : bool
        Whether the same question can be answered later.
    """

    def __init__(self, problem: str, remedy: str, *, is_temporary: bool = False) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.is_temporary = is_temporary


class PlatformError(AmaranthbendError):
    """A call to the platform failed."""
