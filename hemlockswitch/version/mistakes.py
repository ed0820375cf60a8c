"""Mistakes in operator files and settings files, and the notation of their paths."""

from dataclasses import dataclass

from pydantic import ValidationError

Path = tuple[str | int, ...]


@dataclass(frozen=True)
class Mistake:
    """The location of a mistake in a file, and the reason.

    Parameters
    ==========

    path : location in the file, such as ``models[0].min_copies``; empty for the file as a whole.
    reason : one sentence.

    Examples
    ========

    >>> print(Mistake("zones", "may not be empty"))
    zones: may not be empty
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or 'the file'}: {self.reason}"


def format_path(path: Path) -> str:
    """Return a path in the notation for operators.

    Examples
    ========

    >>> format_path(("models", 0, "min_copies"))
    'models[0].min_copies'
    """
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text


def list_model_mistakes(error: ValidationError) -> list[Mistake]:
    """Return the mistakes that a pydantic model found; they never contain the value itself."""
    rows = error.errors(include_url=False, include_input=False, include_context=False)
    return [
        Mistake(format_path(row["loc"]), row["msg"][:1].lower() + row["msg"][1:]) for row in rows
    ]
