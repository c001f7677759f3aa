"""The command-line tool `comfreysill`."""

import asyncio
import pathlib
import sys
import time
from typing import Annotated, Any

import cappa
import orjson
from rich.progress import Progress

from comfreysill import keys
from comfreysill.cli import floors
from comfreysill.cli.batch import JobReport, read_jobs, submit_jobs
from comfreysill.cli.client import JOB_PATH, Reply, ask
from comfreysill.cli.explain import describe_record, describe_trace, explain_request
from comfreysill.cli.tables import print_table, summarize_classes
from comfreysill.exceptions import ComfreysillError, RefusedError

EntryOption = Annotated[
    str,
    cappa.Arg(
        long="--entry",
        default=cappa.Env("COMFREYSILL_ENTRY", default="http://127.0.0.1:8080"),
        help="Address of an entry; several are separated by commas.",
    ),
]
FloorFile = Annotated[pathlib.Path, cappa.Arg(help="Floor document in YAML.")]
AuthorOption = Annotated[str, cappa.Arg(long="--author", help="Who makes the change.")]
JsonOption = Annotated[bool, cappa.Arg(long="--json", help="Print JSON instead of tables.")]


@cappa.command(name="job", help="Submit, look up and cancel jobs.")
class JobCommands:
    """Commands about jobs."""

    __slots__ = ()

    @cappa.command(name="submit")
    def submit(
        self,
        file: Annotated[pathlib.Path, cappa.Arg(help="Job file in YAML.")],
        entry: EntryOption,
        json: JsonOption = False,
    ) -> None:
        """Submit the jobs of a file and wait for all answers."""
        submit_file(file, entry.split(","), json)

    @cappa.command(name="show")
    def show(self, team: str, job_id: str, entry: EntryOption) -> None:
        """Show the answer of a job, or how far it is."""
        path = JOB_PATH.format(team=team, job_id=job_id)
        print_json(check_reply(asyncio.run(ask(entry.split(",")[0], "GET", path))))

    @cappa.command(name="cancel")
    def cancel(self, team: str, job_id: str, entry: EntryOption) -> None:
        """Cancel a job."""
        path = JOB_PATH.format(team=team, job_id=job_id)
        check_reply(asyncio.run(ask(entry.split(",")[0], "DELETE", path)))

    @cappa.command(name="cancel-all")
    def cancel_all(
        self,
        team: str,
        entry: EntryOption,
        task_class: Annotated[
            str | None, cappa.Arg(long="--class", help="urgent, normal or bulk; all by default.")
        ] = None,
    ) -> None:
        """Cancel all jobs of a team, or those of one class."""
        change = {"team": team} | ({"class": task_class} if task_class else {})
        path = "/admin/v1/cancellations"
        check_reply(asyncio.run(ask(entry.split(",")[0], "POST", path, change)))


@cappa.command(name="target", help="Look at targets.")
class TargetCommands:
    """Commands about targets."""

    __slots__ = ()

    @cappa.command(name="drain")
    def drain(self, name: str, entry: EntryOption) -> None:
        """Have a target take no new work."""
        path = f"/admin/v1/targets/{name}/drain"
        check_reply(asyncio.run(ask(entry.split(",")[0], "PUT", path)))

    @cappa.command(name="undrain")
    def undrain(self, name: str, entry: EntryOption) -> None:
        """Have a target take work again."""
        path = f"/admin/v1/targets/{name}/drain"
        check_reply(asyncio.run(ask(entry.split(",")[0], "DELETE", path)))

    @cappa.command(name="list")
    def list_targets(self, entry: EntryOption, json: JsonOption = False) -> None:
        """List the targets that an entry knows."""
        reply = check_reply(asyncio.run(ask(entry.split(",")[0], "GET", "/v1/status")))
        if json:
            print_json(reply["targets"])
            return
        columns = ("name", "zone", "connected", "slots", "running", "queued", "slowness")
        rows = [[target[column] for column in columns] for target in reply["targets"]]
        print_table("Targets", columns, rows)


@cappa.command(name="floor", help="Check, apply and look at the floor document.")
class FloorCommands:
    """Commands about the floor document."""

    __slots__ = ()

    @cappa.command(name="check")
    def check(self, file: FloorFile, json: JsonOption = False) -> None:
        """Check a floor document without changing anything."""
        floors.read_floor_file(file)
        if json:
            print_json({"file": str(file), "problems": []})
        else:
            print(f"{file}: no errors")

    @cappa.command(name="apply")
    def apply(
        self,
        file: FloorFile,
        entry: EntryOption,
        previous: Annotated[
            int | None, cappa.Arg(long="--previous", help="Version the change was made on.")
        ] = None,
        author: AuthorOption = "operator",
        json: JsonOption = False,
    ) -> None:
        """Apply a floor document completely or not at all."""
        document = floors.read_floor_file(file)
        accepted = floors.apply_document(entry.split(",")[0], document, author, previous)
        print_accepted(accepted, json)

    @cappa.command(name="diff")
    def diff(self, file: FloorFile, entry: EntryOption, json: JsonOption = False) -> None:
        """Show what a document would change."""
        document = floors.read_floor_file(file)
        lines = floors.diff_with_current(entry.split(",")[0], document)
        if json:
            print_json({"difference": lines})
            return
        for line in lines:
            print(line)

    @cappa.command(name="show")
    def show(self, entry: EntryOption) -> None:
        """Show the version in force."""
        reply = asyncio.run(ask(entry.split(",")[0], "GET", floors.FLOOR_PATH))
        print_json(floors.check_admin(reply))

    @cappa.command(name="history")
    def history(self, entry: EntryOption, json: JsonOption = False) -> None:
        """List all versions."""
        versions = floors.find_history(entry.split(",")[0])
        if json:
            print_json(versions)
            return
        columns = ("version", "author", "changed_at", "change_id")
        rows = [[version[column] for column in columns] for version in versions]
        print_table("Versions", columns, rows)

    @cappa.command(name="rollback")
    def rollback(
        self,
        version: int,
        entry: EntryOption,
        author: AuthorOption = "operator",
        json: JsonOption = False,
    ) -> None:
        """Apply a past version's document as a new version."""
        first = entry.split(",")[0]
        document = floors.find_past(first, version)
        print_accepted(floors.apply_document(first, document, author, None), json)

    @cappa.command(name="status")
    def status(self, entry: EntryOption) -> None:
        """Show the version in force in each process."""
        path = f"{floors.FLOOR_PATH}/versions"
        print_json(floors.check_admin(asyncio.run(ask(entry.split(",")[0], "GET", path))))


@cappa.command(name="key", help="Make keys for operators and teams.")
class KeyCommands:
    """Commands about keys."""

    __slots__ = ()

    @cappa.command(name="new")
    def new(self, json: JsonOption = False) -> None:
        """Print a new key, and its hash for the floor document."""
        key = keys.make_key()
        if json:
            print_json({"key": key, "hash": keys.hash_key(key)})
            return
        print(f"key:  {key}")
        print(f"hash: {keys.hash_key(key)}")


@cappa.command(name="comfreysill", help="Operate a dispatcher for sub-second tasks.")
class Commands:
    """All commands."""

    __slots__ = ()

    job = JobCommands
    target = TargetCommands
    floor = FloorCommands
    key = KeyCommands

    @cappa.command(name="load")
    def load(
        self,
        experiment: Annotated[pathlib.Path, cappa.Arg(help="Experiment file in YAML.")],
        entry: EntryOption,
        json: JsonOption = False,
    ) -> None:
        """Run an experiment's load against a running floor."""
        run_load(experiment, entry.split(","), json)

    @cappa.command(name="report")
    def report(
        self,
        runs: Annotated[list[pathlib.Path], cappa.Arg(help="JSON documents of runs.")],
        out: Annotated[pathlib.Path, cappa.Arg(long="--out", help="Picture to write (PNG).")],
    ) -> None:
        """Draw runs beside each other."""
        draw_report(runs, out)

    @cappa.command(name="explain")
    def explain(
        self,
        request_id: Annotated[str, cappa.Arg(help="Id of the request.")],
        files: Annotated[list[pathlib.Path], cappa.Arg(help="Logs of entries and agents.")],
        json: JsonOption = False,
    ) -> None:
        """Tell from logs what became of a request, and why."""
        story = explain_request(request_id, files)
        if json:
            print_json(describe_trace(story))
            return
        for record in story.context:
            print(describe_record(record, story.related[0].time))
        print(f"cause: {story.cause}")

    @cappa.command(name="status")
    def status(self, entry: EntryOption) -> None:
        """Show the state of an entry."""
        print_json(check_reply(asyncio.run(ask(entry.split(",")[0], "GET", "/v1/status"))))


def submit_file(file: pathlib.Path, entries: list[str], json: bool) -> None:
    """Submits a job file, shows progress and prints the answers.

    Raises:
        RefusedError: Not all jobs were completed.
    """
    requests = read_jobs(file, time.time())
    slots = asyncio.run(_count_slots(entries[0]))
    with Progress(disable=json or not sys.stderr.isatty()) as progress:
        bar = progress.add_task("jobs", total=len(requests))
        reports = asyncio.run(submit_jobs(entries, requests, lambda report: progress.advance(bar)))
    rows = summarize_classes(reports, slots)
    if json:
        print_json({"classes": rows, "jobs": [_describe_report(report) for report in reports]})
    else:
        _print_reports(reports, rows)
    failed = [report for report in reports if report.status != 200]
    if failed:
        raise RefusedError(message=f"{len(failed)} of {len(reports)} jobs were not completed")


def run_load(path: pathlib.Path, entries: list[str], json: bool) -> None:
    """Runs an experiment's load and prints its summary."""
    from comfreysill.load.arrivals import draw_arrivals
    from comfreysill.load.driver import drive_arrivals, measure_round_trip
    from comfreysill.load.experiment import read_experiment
    from comfreysill.load.summary import summarize

    experiment = read_experiment(path)
    arrivals = draw_arrivals(experiment)
    service = experiment.document["floor"]["service"]
    round_trip = asyncio.run(measure_round_trip(entries[0]))
    samples = asyncio.run(drive_arrivals(entries, service, arrivals))
    summary = summarize(experiment, samples, round_trip)
    if json:
        print_json(summary)
        return
    print(f"seed {summary['seed']}, jobs {summary['jobs']}, complete {summary['complete']}")
    columns = ("class", "jobs", "complete", "p50", "p90", "p99", "p99.9")
    rows = [(name, *row.values()) for name, row in summary["classes"].items()]
    print_table("Slowdown", columns, rows)


def draw_report(runs: list[pathlib.Path], out: pathlib.Path) -> None:
    """Draws runs beside each other into one picture."""
    from comfreysill.load.report import draw_runs, read_runs

    draw_runs(read_runs(runs), out)


def print_accepted(accepted: dict[str, Any], json: bool) -> None:
    """Prints the floor version that a change led to."""
    if json:
        print_json(accepted)
    else:
        print(f"version {accepted['version']} is accepted")


def print_json(document: Any) -> None:
    """Prints a document as JSON."""
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())


def check_reply(reply: Reply) -> Any:
    """Returns the document of a successful reply.

    Raises:
        RefusedError: The entry refused the request.
    """
    if reply.status < 400:
        return reply.document
    problem = reply.document if isinstance(reply.document, dict) else {}
    detail = problem.get("detail") or problem.get("description") or problem.get("title", "")
    raise RefusedError(message=f"the entry answered {reply.status}: {detail}")


async def _count_slots(entry: str) -> int:
    status = check_reply(await ask(entry, "GET", "/v1/status"))
    return sum(target["slots"] for target in status["targets"])


def _describe_report(report: JobReport) -> dict[str, Any]:
    return {
        "team": report.request.team,
        "id": report.request.job_id,
        "name": report.request.name,
        "http_status": report.status,
        "seconds": round(report.seconds, 4),
        "answer": report.answer,
    }


def _print_reports(reports: list[JobReport], rows: list[dict[str, Any]]) -> None:
    shown = [
        (
            report.request.name,
            report.request.document["class"],
            report.answer.get("status"),
            report.answer.get("verdict"),
            len(report.answer.get("results", [])) or report.answer.get("detail"),
            f"{report.seconds:.3f}",
        )
        for report in reports
    ]
    print_table("Answers", ("job", "class", "status", "verdict", "results", "seconds"), shown)
    print_table("Response time against the ideal", rows[0], [row.values() for row in rows])


def main() -> None:
    """Entry point of the program."""
    try:
        cappa.invoke(Commands)
    except ComfreysillError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
