"""Command line: declares the commands; each one's module is imported when it runs.

Exit codes: 0 done; 1 the command ran and its answer is no (a conflict, a broken
promise, a refused request); 2 wrong arguments or a document with faults; 3 the
instance could not be reached.
"""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import Annotated, Any

import typer

app = typer.Typer(
    name="scalebend",
    help="Serve many customers from one fleet of language-model engines, fairly.",
    no_args_is_help=True,
    add_completion=False,
    # Plain help: the library for coloured help costs each instance 6 MB.
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)

Url = Annotated[
    str, typer.Option(help="Address of an instance.", envvar="SCALEBEND_URL")
]
Key = Annotated[str, typer.Option(help="Key to use.", envvar="SCALEBEND_KEY")]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]

DEFAULT_URL = "http://127.0.0.1:8080"


def _run(command: str, **options: Any) -> None:
    module = importlib.import_module(f"scalebend.commands.{command}")
    raise typer.Exit(module.run(**options))


def _show_version(is_asked: bool) -> None:
    if is_asked:
        _run("version", as_json=False)


@app.callback()
def _set_up(
    version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    pass


@app.command()
def run(
    settings: Annotated[Path, typer.Argument(help="Settings, a JSON file.")],
) -> None:
    """Run an instance until SIGTERM; open requests are finished first."""
    _run("run", settings=settings)


@app.command()
def gateway(
    settings: Annotated[
        Path | None,
        typer.Argument(help="Settings of the platform; default: $SCALEBEND_CONFIG."),
    ] = None,
    log_level: Annotated[str, typer.Option(help="Least level of log lines.")] = "info",
    link_listen: Annotated[
        str | None,
        typer.Option(help="IP:port for links, if others dial a proxy before it."),
    ] = None,
) -> None:
    """Run a front or a control instance on the users' platform until SIGTERM."""
    _run("gateway", settings=settings, log_level=log_level, link_listen=link_listen)


@app.command()
def check(
    file: Annotated[Path | None, typer.Argument(help="A JSON file.")] = None,
    schema: Annotated[
        str, typer.Option(help="Print a JSON Schema: settings or configuration.")
    ] = "",
    as_json: Json = False,
) -> None:
    """Check a settings or configuration file without starting anything."""
    _run("check", file=file, schema=schema, as_json=as_json)


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="Configuration, a JSON file.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    base: Annotated[
        int | None, typer.Option(help="Version it replaces; default: the newest.")
    ] = None,
    change: Annotated[
        str, typer.Option(help="Change id; the same again gives the same answer.")
    ] = "",
    operator: Annotated[str, typer.Option(help="Name shown to others.")] = "",
    as_json: Json = False,
) -> None:
    """Replace the configuration as a whole."""
    _run(
        "apply",
        file=file,
        url=url,
        key=key,
        base=base,
        change=change,
        operator=operator,
        as_json=as_json,
    )


@app.command()
def diff(
    file: Annotated[Path, typer.Argument(help="Configuration, a JSON file.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    as_json: Json = False,
) -> None:
    """Show how a file differs from the configuration in force (exit 1 if it does)."""
    _run("diff", file=file, url=url, key=key, as_json=as_json)


@app.command()
def status(url: Url = DEFAULT_URL, key: Key = "", as_json: Json = False) -> None:
    """Show instances, their configuration versions, and upstreams."""
    _run("status", url=url, key=key, as_json=as_json)


@app.command()
def drain(url: Url = DEFAULT_URL, key: Key = "") -> None:
    """Ask an instance for a planned stop."""
    _run("drain", url=url, key=key)


@app.command()
def ask(
    prompt: Annotated[Path, typer.Argument(help="A file with the prompt, or -.")],
    model: Annotated[str, typer.Option(help="Model to ask.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    max_tokens: Annotated[int, typer.Option(help="Tokens to generate.")] = 256,
    time_limit: Annotated[float, typer.Option(help="Seconds.")] = 120.0,
) -> None:
    """Send a prompt and print its streamed answer."""
    _run(
        "ask",
        prompt=prompt,
        model=model,
        url=url,
        key=key,
        max_tokens=max_tokens,
        time_limit=time_limit,
    )


@app.command()
def demo(
    prompt: Annotated[
        Path | None, typer.Option(help="A file to send as one more prompt.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    as_json: Json = False,
) -> None:
    """Run an instance, small engines and a mixed load in one process."""
    _run("demo", prompt=prompt, seed=seed, as_json=as_json)


@app.command()
def measure(
    scenario: Annotated[Path, typer.Argument(help="Scenario, a JSON file.")],
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    seeds: Annotated[
        int, typer.Option(help="Run this many seeds, from --seed on.")
    ] = 1,
    out: Annotated[Path | None, typer.Option(help="Folder for results.")] = None,
    policy: Annotated[
        list[str] | None, typer.Option(help="Only these policies; may be repeated.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Measure the core in virtual time with small stand-in engines."""
    _run(
        "measure",
        scenario=scenario,
        seed=seed,
        seeds=seeds,
        out=out,
        policies=policy or [],
        as_json=as_json,
    )


@app.command("measure-overhead")
def measure_overhead(as_json: Json = False) -> None:
    """Compare the real path with a bare pass-through, in processor time."""
    _run("measure_overhead", as_json=as_json)


@app.command("explain-losses")
def explain_losses(
    logs: Annotated[list[Path], typer.Argument(help="Log files of fronts.")],
    window: Annotated[float, typer.Option(help="Seconds of one window.")] = 2.0,
    as_json: Json = False,
) -> None:
    """Say why requests were not served in time, from the logs of fronts."""
    _run("explain_losses", logs=logs, window=window, as_json=as_json)


@app.command("measure-placement")
def measure_placement(
    scenario: Annotated[Path, typer.Argument(help="Scenario, a JSON file.")],
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    seeds: Annotated[
        int, typer.Option(help="Run this many seeds, from --seed on.")
    ] = 10,
    decider: Annotated[
        list[str] | None, typer.Option(help="Only these deciders; may be repeated.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Compare ways to place engine work in virtual time, with worth and bound."""
    _run(
        "measure_placement",
        scenario=scenario,
        seed=seed,
        seeds=seeds,
        deciders=decider or [],
        as_json=as_json,
    )


@app.command("measure-control")
def measure_control(
    largest: Annotated[
        int, typer.Option(help="Leave out sizes with more instances.")
    ] = 390,
    as_json: Json = False,
) -> None:
    """Measure control costs by number of instances, core alone."""
    _run("measure_control", largest=largest, as_json=as_json)


@app.command("measure-changes")
def measure_changes(as_json: Json = False) -> None:
    """Measure the spread of changes, time without a leader, and recovery."""
    _run("measure_changes", as_json=as_json)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="First seed of the faults.")] = 1,
    seeds: Annotated[int, typer.Option(help="Run this many seeds.")] = 1,
    minutes: Annotated[float, typer.Option(help="Length of the load of each.")] = 1.0,
    controls: Annotated[int, typer.Option(help="Control instances.")] = 3,
    fronts: Annotated[int, typer.Option(help="Fronts.")] = 3,
    replicas: Annotated[int, typer.Option(help="Stand-in replicas.")] = 6,
    callers: Annotated[int, typer.Option(help="Callers that send at once.")] = 16,
    out: Annotated[
        Path, typer.Option(help="Folder for logs; those of a clean run are removed.")
    ] = Path("out/soak"),
) -> None:
    """Run the gateway's processes under random faults and check its promises."""
    _run(
        "soak",
        seed=seed,
        seeds=seeds,
        minutes=minutes,
        controls=controls,
        fronts=fronts,
        replicas=replicas,
        callers=callers,
        out=out,
    )


@app.command("hash-key")
def hash_key(
    key: Annotated[str, typer.Argument(help="A secret key, or - for input.")] = "-",
) -> None:
    """Print the hash of a key, as settings and configuration hold it."""
    _run("hash_key", key=key)


@app.command()
def errors() -> None:
    """Print the list of error kinds, as the page docs/errors.md."""
    _run("errors")


@app.command()
def version(as_json: Json = False) -> None:
    """Show the version."""
    _run("version", as_json=as_json)


def main() -> None:
    """Run the command line."""
    app()
