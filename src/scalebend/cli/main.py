"""Declares the commands; the module of a command is imported when it runs.

Exit codes: 0 success; 1 the command ran with a negative result (a conflict, a broken
promise, a rejected request); 2 invalid arguments or an invalid document; 3 the instance
could not be reached.
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
    # The library for coloured help would add to the memory of every instance.
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)

Url = Annotated[
    str, typer.Option(help="Address of an instance.", envvar="SCALEBEND_URL")
]
Key = Annotated[str, typer.Option(help="API key to send.", envvar="SCALEBEND_KEY")]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]

DEFAULT_URL = "http://127.0.0.1:8080"


def _run(command: str, **options: Any) -> None:
    module = importlib.import_module(f"scalebend.commands.{command}")
    raise typer.Exit(module.run(**options))


def _show_version(is_requested: bool) -> None:
    if is_requested:
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
    settings: Annotated[Path, typer.Argument(help="Path of a JSON file of settings.")],
) -> None:
    """Run an instance until SIGTERM; it finishes open requests before it exits."""
    _run("run", settings=settings)


@app.command()
def gateway(
    settings: Annotated[
        Path | None,
        typer.Argument(help="Path of the settings; default: $SCALEBEND_CONFIG."),
    ] = None,
    log_level: Annotated[
        str, typer.Option(help="Minimum level of log lines.")
    ] = "info",
    link_listen: Annotated[
        str | None,
        typer.Option(
            help="IP:port to listen on for links, if peers connect through a proxy."
        ),
    ] = None,
) -> None:
    """Run a front, a control instance or a relay until SIGTERM."""
    _run("gateway", settings=settings, log_level=log_level, link_listen=link_listen)


@app.command()
def check(
    file: Annotated[Path | None, typer.Argument(help="Path of a JSON file.")] = None,
    schema: Annotated[
        str, typer.Option(help="Print a JSON Schema: settings or configuration.")
    ] = "",
    as_json: Json = False,
) -> None:
    """Check a settings or configuration file without starting anything."""
    _run("check", file=file, schema=schema, as_json=as_json)


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="Path of a JSON file of configuration.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    base: Annotated[
        int | None, typer.Option(help="Version to replace; default: the newest.")
    ] = None,
    change: Annotated[
        str, typer.Option(help="Change id; repeating it gives the same result.")
    ] = "",
    operator: Annotated[str, typer.Option(help="Name recorded with the change.")] = "",
    as_json: Json = False,
) -> None:
    """Replace the whole configuration."""
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
    file: Annotated[Path, typer.Argument(help="Path of a JSON file of configuration.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    as_json: Json = False,
) -> None:
    """Show how a file differs from the configuration in force (exit 1 if it does)."""
    _run("diff", file=file, url=url, key=key, as_json=as_json)


@app.command()
def status(url: Url = DEFAULT_URL, key: Key = "", as_json: Json = False) -> None:
    """Show upstreams, instances and their configuration versions."""
    _run("status", url=url, key=key, as_json=as_json)


@app.command()
def drain(url: Url = DEFAULT_URL, key: Key = "") -> None:
    """Drain an instance: it finishes open requests, then stops."""
    _run("drain", url=url, key=key)


@app.command()
def evacuate(
    zone: Annotated[
        str, typer.Argument(help="Availability zone; without one, show all.")
    ] = "",
    withdraw: Annotated[
        bool, typer.Option("--withdraw", help="Use the zone again.")
    ] = False,
    url: Annotated[
        str,
        typer.Option(
            help="Address of a control instance of the gateway.",
            envvar="SCALEBEND_CONTROL_URL",
        ),
    ] = DEFAULT_URL,
    as_json: Json = False,
) -> None:
    """Send nothing new to the upstreams of an availability zone, until withdrawn."""
    if withdraw and not zone:
        raise typer.BadParameter("name the zone to use again", param_hint="--withdraw")
    _run("evacuate", zone=zone, withdraw=withdraw, url=url, as_json=as_json)


@app.command()
def ask(
    prompt: Annotated[
        Path,
        typer.Argument(help="Path of a file with the prompt, or - for standard input."),
    ],
    model: Annotated[str, typer.Option(help="Name of the model.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    max_tokens: Annotated[
        int, typer.Option(help="Maximum number of tokens to generate.")
    ] = 256,
    time_limit: Annotated[
        float, typer.Option(help="Time limit of the request in seconds.")
    ] = 120.0,
) -> None:
    """Send a prompt and print the streamed response."""
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
        Path | None,
        typer.Option(help="Path of a file to send as an additional prompt."),
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    as_json: Json = False,
) -> None:
    """Run an instance, stand-in engines and a mixed load in one process."""
    _run("demo", prompt=prompt, seed=seed, as_json=as_json)


@app.command()
def measure(
    scenario: Annotated[
        Path, typer.Argument(help="Path of a JSON file with the scenario.")
    ],
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    seeds: Annotated[
        int, typer.Option(help="Run this many seeds, from --seed on.")
    ] = 1,
    out: Annotated[
        Path | None, typer.Option(help="Folder to write results to.")
    ] = None,
    policy: Annotated[
        list[str] | None, typer.Option(help="Run only this policy; may be repeated.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Measure scheduling policies in virtual time with stand-in engines."""
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
    """Compare the processor time of scalebend with that of a minimal proxy."""
    _run("measure_overhead", as_json=as_json)


@app.command("explain-losses")
def explain_losses(
    logs: Annotated[list[Path], typer.Argument(help="Log files of fronts.")],
    window: Annotated[float, typer.Option(help="Length of a window in seconds.")] = 2.0,
    as_json: Json = False,
) -> None:
    """Explain from the logs of fronts why requests were not served on time."""
    _run("explain_losses", logs=logs, window=window, as_json=as_json)


@app.command("measure-placement")
def measure_placement(
    scenario: Annotated[
        Path, typer.Argument(help="Path of a JSON file with the scenario.")
    ],
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    seeds: Annotated[
        int, typer.Option(help="Run this many seeds, from --seed on.")
    ] = 10,
    decider: Annotated[
        list[str] | None, typer.Option(help="Run only this decider; may be repeated.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Compare placement strategies in virtual time, with value and bound."""
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
        int, typer.Option(help="Skip sizes with more instances than this.")
    ] = 390,
    as_json: Json = False,
) -> None:
    """Measure the cost of control traffic by the number of instances."""
    _run("measure_control", largest=largest, as_json=as_json)


@app.command("measure-changes")
def measure_changes(as_json: Json = False) -> None:
    """Measure change propagation, time without a leader and recovery time."""
    _run("measure_changes", as_json=as_json)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="First seed of the faults.")] = 1,
    seeds: Annotated[int, typer.Option(help="Run this many seeds.")] = 1,
    minutes: Annotated[
        float, typer.Option(help="Minutes of load for each seed.")
    ] = 1.0,
    controls: Annotated[int, typer.Option(help="Number of control instances.")] = 3,
    fronts: Annotated[int, typer.Option(help="Number of fronts.")] = 3,
    replicas: Annotated[int, typer.Option(help="Number of stand-in replicas.")] = 6,
    callers: Annotated[int, typer.Option(help="Number of concurrent callers.")] = 16,
    out: Annotated[
        Path,
        typer.Option(help="Folder for logs; logs of successful seeds are deleted."),
    ] = Path("out/soak"),
) -> None:
    """Run gateway processes under random faults and check the promises."""
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
    key: Annotated[
        str, typer.Argument(help="A secret key, or - for standard input.")
    ] = "-",
) -> None:
    """Print the hash of a key for use in settings and configuration."""
    _run("hash_key", key=key)


@app.command()
def errors() -> None:
    """Print the list of error kinds as Markdown (docs/errors.md)."""
    _run("errors")


@app.command()
def version(as_json: Json = False) -> None:
    """Show the version."""
    _run("version", as_json=as_json)


def main() -> None:
    """Run the command line."""
    app()
