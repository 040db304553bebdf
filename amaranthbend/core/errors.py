"""Typed errors; each message names the remedy."""

__all__ = [
    "EXIT_BAD_SETTINGS",
    "AmaranthbendError",
    "ApprovalError",
    "PlatformError",
    "SettingsError",
]

# Exit status of programs whose settings are not valid.
EXIT_BAD_SETTINGS = 2


class AmaranthbendError(Exception):
    """Base of the errors that the package raises or returns."""


class SettingsError(AmaranthbendError):
    """A settings file or its merge is not valid.

    Parameters
    ----------
    file : str
        File name.
    line : int
        Line in the file, from 1; 0 where no single line is at fault.
    setting : str
        Dotted path of the setting.
    problem : str
        What is wrong, with the bad value and the valid ones.
    remedy : str
        What to do.
    """

    def __init__(self, file: str, line: int, setting: str, problem: str, remedy: str) -> None:
        super().__init__(f"{file}:{line}: {setting}: {problem}; {remedy}")
        self.file = file
        self.line = line
        self.setting = setting
        self.problem = problem
        self.remedy = remedy


class ApprovalError(AmaranthbendError):
    """A settings envelope lacks a valid approval or would move backwards."""


class PlatformError(AmaranthbendError):
    """A call to the platform failed."""
