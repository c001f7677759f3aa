"""A dispatcher for sub-second tasks: runs every task, none twice, urgent ones first."""

from comfreysill.exceptions import ComfreysillError, DocumentError
from comfreysill.job.types import Answer, JobKey, Submission, TaskClass, TaskSpec, Verdict

__version__ = "0.1.0"

__all__ = [
    "Answer",
    "ComfreysillError",
    "DocumentError",
    "JobKey",
    "Submission",
    "TaskClass",
    "TaskSpec",
    "Verdict",
    "__version__",
]
