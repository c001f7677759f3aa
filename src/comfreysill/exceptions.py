"""Errors shown to operators, with the exit status of a program, and problems in documents."""


class ComfreysillError(Exception):
    """Base class of errors that are shown to operators.

    Attributes:
        exit_code: Exit status of the program.
        message: Description of the error, with the name of the parameter at fault, if any.
        hint: How to fix it, or an empty string.
    """

    exit_code = 1

    def __init__(self, *, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        return f"{self.message}\nHint: {self.hint}" if self.hint else self.message


class UsageError(ComfreysillError):
    """A command was called with invalid parameters, or a file or setting can't be read."""

    exit_code = 2


class DocumentError(ComfreysillError):
    """A document, such as a settings file, is invalid; `problems` lists all errors."""

    exit_code = 3

    def __init__(self, *, source: str, problems: tuple["Problem", ...]) -> None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        super().__init__(message=f"{source}: {len(problems)} error(s)\n{lines}")
        self.problems = problems


class UnreachableError(ComfreysillError):
    """A server could not be reached or did not return JSON, or its store is unreachable."""

    exit_code = 4


class RefusedError(ComfreysillError):
    """A server refused a request, jobs were not completed, or no log record concerns a request."""

    exit_code = 5


class RegistrationLostError(ComfreysillError):
    """The agent's registration was replaced, or its ledger was marked as lost.

    The process must exit; a new process registers.
    """

    exit_code = 6


class Problem:
    """One error in a document.

    Attributes:
        path: Path in the document, such as `teams[2].weight`, or `(document)` for the whole; line
            and column if it is not valid YAML.
        value: The value at that path, shortened if long.
        reason: Description of the error.
        hint: How to fix it, or an empty string.
    """

    __slots__ = ("path", "value", "reason", "hint")

    def __init__(self, *, path: str, value: str, reason: str, hint: str = "") -> None:
        self.path = path
        self.value = value
        self.reason = reason
        self.hint = hint

    def __str__(self) -> str:
        hint = f" (hint: {self.hint})" if self.hint else ""
        return f"{self.path}: {self.reason}, got {self.value}{hint}"
