"""Keeps the logs of a deployment whose test failed, within a bounded size."""

import asyncio
import pathlib
import shutil
import time

import aiohttp

from standins.processes import LocalDeployment

KEPT_LOGS_FOLDER = pathlib.Path(__file__).parent.parent / ".run" / "failed-deployments"
MAX_KEPT_DEPLOYMENTS = 5
MAX_KEPT_FILES = 60
MAX_KEPT_BYTES_PER_FILE = 1_000_000
METRICS_TIMEOUT_SECONDS = 2.0


async def save_metrics(deployment: LocalDeployment) -> None:
    """Writes the metrics of each running entry and agent to `<name>.metrics` beside their logs.

    A process that gives no answer within `METRICS_TIMEOUT_SECONDS` is left out.
    """
    timeout = aiohttp.ClientTimeout(total=METRICS_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await asyncio.gather(
            *(_save_process_metrics(session, deployment, name) for name in deployment.processes)
        )


async def _save_process_metrics(
    session: aiohttp.ClientSession, deployment: LocalDeployment, name: str
) -> None:
    role, _, index = name.partition("-")
    if role not in ("entry", "agent"):
        return
    find_url = deployment.entry_url if role == "entry" else deployment.agent_url
    try:
        async with session.get(f"{find_url(int(index))}/metrics") as answer:
            text = await answer.text()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return
    (deployment.plan.folder / f"{name}.metrics").write_text(text)


def keep_logs(
    folder: pathlib.Path, test_name: str, kept_folder: pathlib.Path = KEPT_LOGS_FOLDER
) -> pathlib.Path:
    """Copies the end of each file of a deployment's folder, and removes the oldest copies.

    At most `MAX_KEPT_FILES` files of `MAX_KEPT_BYTES_PER_FILE` are kept of a deployment, and at
    most `MAX_KEPT_DEPLOYMENTS` deployments.

    Args:
        folder: Folder of the deployment's settings and logs.
        test_name: Name of the failed test.
        kept_folder: Folder of all copies.

    Returns:
        The folder of this copy.
    """
    copy = kept_folder / f"{time.time_ns()}-{test_name.rsplit('.', 1)[-1]}"
    copy.mkdir(parents=True)
    files = sorted(path for path in folder.iterdir() if path.is_file())
    for path in files[:MAX_KEPT_FILES]:
        (copy / path.name).write_bytes(_read_end(path))
    # Names begin with the time in ns, which has the same number of digits for centuries.
    for old in sorted(kept_folder.iterdir())[:-MAX_KEPT_DEPLOYMENTS]:
        shutil.rmtree(old)
    return copy


def _read_end(path: pathlib.Path) -> bytes:
    with path.open("rb") as file:
        size = file.seek(0, 2)
        file.seek(max(0, size - MAX_KEPT_BYTES_PER_FILE))
        return file.read()
