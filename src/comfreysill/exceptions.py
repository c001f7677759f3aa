"""Errors that end a program, with the exit code that scripts see."""


class ComfreysillError(Exception):
    """Base of all errors shown to operators.

    Attributes:
        exit_code: Exit status of the program.
        message: What is wrong, naming the parameter.
        hint: What to do about it; empty for none.
    """

    exit_code = 1

    def __init__(self, *, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        return f"{self.message}\nHint: {self.hint}" if self.hint else self.message


class UsageError(ComfreysillError):
    """A command was called with unusable parameters."""

    exit_code = 2


class DocumentError(ComfreysillError):
    """A settings file or a floor document has errors; `problems` lists them all."""

    exit_code = 3

    def __init__(self, *, source: str, problems: tuple["Problem", ...]) -> None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        super().__init__(message=f"{source}: {len(problems)} error(s)\n{lines}")
        self.problems = problems


class UnreachableError(ComfreysillError):
    """A server could not be reached."""

    exit_code = 4


class RefusedError(ComfreysillError):
    """A server refused a request or a job failed."""

    exit_code = 5


class RegistrationLostError(ComfreysillError):
    """A process was marked as gone and has to end; its successor registers anew."""

    exit_code = 6


class Problem:
    """One error of a document.

    Attributes:
        path: Place in the document, as in `teams[2].quota`.
        value: The value found there, shortened.
        reason: What is wrong.
        hint: What to write in its place; empty for none.
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
