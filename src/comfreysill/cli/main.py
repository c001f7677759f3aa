"""The command-line tool `comfreysill`."""

import asyncio
import pathlib
import sys
import time
from typing import Annotated, Any

import cappa
from rich.progress import Progress

from comfreysill import keys
from comfreysill.cli import floors
from comfreysill.cli.batch import JobReport, read_jobs, submit_jobs
from comfreysill.cli.client import JOB_PATH, check_reply, request_once
from comfreysill.cli.explain import describe_record, describe_trace, explain_request
from comfreysill.cli.tables import print_json, print_table, summarize_classes
from comfreysill.cli.where import ask, build_question, print_answer
from comfreysill.exceptions import ComfreysillError, RefusedError
from comfreysill.request_trace.holdings import describe_holding

EntryOption = Annotated[
    str,
    cappa.Arg(
        long="--entry",
        default=cappa.Env("COMFREYSILL_ENTRY", default="http://127.0.0.1:8080"),
        help="Address of an entry, or several separated by commas.",
    ),
]
FloorFile = Annotated[pathlib.Path, cappa.Arg(help="Floor document in YAML.")]
AuthorOption = Annotated[str, cappa.Arg(long="--author", help="Author of the change.")]
JsonOption = Annotated[bool, cappa.Arg(long="--json", help="Print JSON instead of tables.")]


@cappa.command(name="job", help="Submit, show and cancel jobs.")
class JobCommands:
    """Commands for jobs."""

    __slots__ = ()

    @cappa.command(name="submit")
    def submit(
        self,
        file: Annotated[pathlib.Path, cappa.Arg(help="Job file in YAML.")],
        entry: EntryOption,
        json: JsonOption = False,
    ) -> None:
        """Submit the jobs in a file and wait for all answers."""
        submit_file(file, entry.split(","), json)

    @cappa.command(name="show")
    def show(self, team: str, job_id: str, entry: EntryOption) -> None:
        """Show the answer or the progress of a job."""
        path = JOB_PATH.format(team=team, job_id=job_id)
        print_json(check_reply(asyncio.run(request_once(entry.split(",")[0], "GET", path))))

    @cappa.command(name="cancel")
    def cancel(self, team: str, job_id: str, entry: EntryOption) -> None:
        """Cancel a job."""
        path = JOB_PATH.format(team=team, job_id=job_id)
        check_reply(asyncio.run(request_once(entry.split(",")[0], "DELETE", path)))

    @cappa.command(name="cancel-all")
    def cancel_all(
        self,
        team: str,
        entry: EntryOption,
        task_class: Annotated[
            str | None,
            cappa.Arg(
                long="--class", help="Class to cancel: urgent, normal or bulk; all by default."
            ),
        ] = None,
    ) -> None:
        """Cancel all jobs of a team, or only those of one class."""
        change = {"team": team} | ({"class": task_class} if task_class else {})
        path = "/admin/v1/cancellations"
        check_reply(asyncio.run(request_once(entry.split(",")[0], "POST", path, change)))


@cappa.command(name="target", help="List, drain and undrain targets.")
class TargetCommands:
    """Commands for targets."""

    __slots__ = ()

    @cappa.command(name="drain")
    def drain(self, name: str, entry: EntryOption) -> None:
        """Stop sending new work to a target."""
        path = f"/admin/v1/targets/{name}/drain"
        check_reply(asyncio.run(request_once(entry.split(",")[0], "PUT", path)))

    @cappa.command(name="undrain")
    def undrain(self, name: str, entry: EntryOption) -> None:
        """Resume sending work to a drained target."""
        path = f"/admin/v1/targets/{name}/drain"
        check_reply(asyncio.run(request_once(entry.split(",")[0], "DELETE", path)))

    @cappa.command(name="list")
    def list_targets(self, entry: EntryOption, json: JsonOption = False) -> None:
        """List the targets known to an entry."""
        reply = check_reply(asyncio.run(request_once(entry.split(",")[0], "GET", "/v1/status")))
        if json:
            print_json(reply["targets"])
            return
        columns = ("name", "zone", "connected", "slots", "running", "queued", "slowness")
        rows = [[target[column] for column in columns] for target in reply["targets"]]
        print_table("Targets", columns, rows)


@cappa.command(name="floor", help="Check, apply and show the floor document.")
class FloorCommands:
    """Commands for the floor document."""

    __slots__ = ()

    @cappa.command(name="check")
    def check(self, file: FloorFile, json: JsonOption = False) -> None:
        """Check a floor document without applying it."""
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
            int | None, cappa.Arg(long="--previous", help="Version the change is based on.")
        ] = None,
        author: AuthorOption = "operator",
        json: JsonOption = False,
    ) -> None:
        """Apply a floor document atomically."""
        document = floors.read_floor_file(file)
        accepted = floors.apply_document(entry.split(",")[0], document, author, previous)
        print_accepted_version(accepted, json)

    @cappa.command(name="diff")
    def diff(self, file: FloorFile, entry: EntryOption, json: JsonOption = False) -> None:
        """Show the changes that a document would make."""
        document = floors.read_floor_file(file)
        lines = floors.diff_with_current(entry.split(",")[0], document)
        if json:
            print_json({"difference": lines})
            return
        for line in lines:
            print(line)

    @cappa.command(name="show")
    def show(self, entry: EntryOption) -> None:
        """Show the current version."""
        reply = asyncio.run(request_once(entry.split(",")[0], "GET", floors.FLOOR_PATH))
        print_json(floors.check_admin_reply(reply))

    @cappa.command(name="history")
    def history(self, entry: EntryOption, json: JsonOption = False) -> None:
        """List all versions."""
        versions = floors.fetch_history(entry.split(",")[0])
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
        """Apply the document of a past version as a new version."""
        entry_address = entry.split(",")[0]
        document = floors.fetch_past_document(entry_address, version)
        print_accepted_version(floors.apply_document(entry_address, document, author, None), json)

    @cappa.command(name="status")
    def status(self, entry: EntryOption) -> None:
        """Show the version that each process uses."""
        path = f"{floors.FLOOR_PATH}/versions"
        print_json(
            floors.check_admin_reply(asyncio.run(request_once(entry.split(",")[0], "GET", path)))
        )


@cappa.command(name="key", help="Generate keys for operators and teams.")
class KeyCommands:
    """Commands for keys."""

    __slots__ = ()

    @cappa.command(name="new")
    def new(self, json: JsonOption = False) -> None:
        """Generate a key, and print it with its hash for the floor document."""
        key = keys.make_key()
        if json:
            print_json({"key": key, "hash": keys.hash_key(key)})
            return
        print(f"key:  {key}")
        print(f"hash: {keys.hash_key(key)}")


@cappa.command(name="comfreysill", help="Operate a dispatcher for sub-second tasks.")
class Commands:
    """Root command."""

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
        """Run the load of an experiment against running entries."""
        run_load(experiment, entry.split(","), json)

    @cappa.command(name="report")
    def report(
        self,
        runs: Annotated[list[pathlib.Path], cappa.Arg(help="JSON summaries of experiment runs.")],
        out: Annotated[pathlib.Path, cappa.Arg(long="--out", help="Output file (PNG).")],
    ) -> None:
        """Plot experiment runs side by side."""
        draw_report(runs, out)

    @cappa.command(name="explain")
    def explain(
        self,
        request_id: Annotated[str, cappa.Arg(help="ID of the request.")],
        files: Annotated[list[pathlib.Path], cappa.Arg(help="Log files of entries and agents.")],
        json: JsonOption = False,
    ) -> None:
        """Explain the outcome of a request from log files."""
        trace = explain_request(request_id, files)
        if json:
            print_json(describe_trace(trace))
            return
        for record in trace.context:
            print(describe_record(record, trace.related[0].time))
        for holding in trace.holdings:
            print(f"entry: {describe_holding(holding, trace.related[0].time)}")
        print(f"cause: {trace.cause}")

    @cappa.command(name="where")
    def where(
        self,
        entry: Annotated[str, cappa.Arg(long="--entry", help="Metrics address of an entry.")],
        file: Annotated[
            pathlib.Path | None, cappa.Arg(long="--file", help="Body of a submission in JSON.")
        ] = None,
        route: Annotated[str | None, cappa.Arg(long="--route", help="Name of the route.")] = None,
        job: Annotated[str | None, cappa.Arg(long="--job", help="ID of an open request.")] = None,
        cpu: Annotated[
            int | None, cappa.Arg(long="--cpu", help="Thousandths of a core per task.")
        ] = None,
        memory_mb: Annotated[
            int | None, cappa.Arg(long="--memory-mb", help="Megabytes per task.")
        ] = None,
        estimate: Annotated[
            float | None, cappa.Arg(long="--estimate", help="Run time of a task in seconds.")
        ] = None,
        count: Annotated[int | None, cappa.Arg(long="--count", help="Number of tasks.")] = None,
        rack: Annotated[str | None, cappa.Arg(long="--rack", help="Rack of the data.")] = None,
        label: Annotated[str | None, cappa.Arg(long="--label", help="Label of the target.")] = None,
        json: JsonOption = False,
    ) -> None:
        """Tell where the tasks of a request would go now, without sending it."""
        step = {"cpu": cpu, "memory_mb": memory_mb, "estimate": estimate, "count": count}
        step |= {"rack": rack, "label": label}
        answer = ask(entry, build_question(job=job, file=file, route=route, step=step))
        if json:
            print_json(answer)
        else:
            print_answer(answer)

    @cappa.command(name="status")
    def status(self, entry: EntryOption) -> None:
        """Show the state of an entry."""
        print_json(check_reply(asyncio.run(request_once(entry.split(",")[0], "GET", "/v1/status"))))


def submit_file(file: pathlib.Path, entries: list[str], json: bool) -> None:
    """Submits the jobs in a file, shows progress and prints the answers.

    Raises:
        DocumentError: The file has errors.
        UsageError: The file can't be read.
        UnreachableError: An entry did not answer, or not with JSON.
        RefusedError: The first entry refused to report its targets, or a job was not completed.
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
    """Runs the load of an experiment and prints a summary."""
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
    """Plots experiment runs side by side into one image file."""
    from comfreysill.load.report import draw_runs, read_runs

    draw_runs(read_runs(runs), out)


def print_accepted_version(accepted: dict[str, Any], json: bool) -> None:
    """Prints the floor version that a change created."""
    if json:
        print_json(accepted)
    else:
        print(f"version {accepted['version']} is accepted")


async def _count_slots(entry: str) -> int:
    status = check_reply(await request_once(entry, "GET", "/v1/status"))
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
    answer_rows = [
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
    print_table("Answers", ("job", "class", "status", "verdict", "results", "seconds"), answer_rows)
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
