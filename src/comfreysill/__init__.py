"""A dispatcher for sub-second tasks: runs every task, none twice, urgent ones first.

Two systems share this package; each has entries, which accept work, and agents beside targets:

- The job API (`daemon`): a job belongs to a partition of the job keys, and each partition has one
  owner entry; agents record tasks in ledgers. Decisions are in `dispatch` and `partition` (entry),
  `target` (both sides), `job` and `floor`; the processes are in `entry` and `agent`.
- The platform (`launch`): each entry places the tasks of its own requests, and an agent stops an
  entry's tasks when the link lease ends. Decisions are in `placement` and `routes` (entry),
  `execution` (agent), `request`, `zones` and `exchange` (both); the processes are in `gateway`
  (entry) and `sidecar` (agent).

Both use `platform` (adapter to the users' platform and its store), `wire` (encoding of messages)
and single modules such as `mailbox`. Processes of the two systems exchange no messages.
"""

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
