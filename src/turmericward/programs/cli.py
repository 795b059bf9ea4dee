"""turmericward: command-line tool for operators."""

import json
import pathlib
import sys

import click

from turmericward import schema, settings
from turmericward.programs import _api, _explain, _front_status, _losses

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
_EXIT_CODES = {0: EXIT_UNREACHABLE, 412: EXIT_CONFLICT, 503: EXIT_UNREACHABLE}


class _Commands(click.Group):
    """Group that reports errors as one line and an exit code."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except _api.ApiError as exc:
            click.echo(f"turmericward: {exc}", err=True)
            sys.exit(_EXIT_CODES.get(exc.status, EXIT_REFUSED))
        except (OSError, ValueError) as exc:
            click.echo(f"turmericward: {exc}", err=True)
            sys.exit(EXIT_USAGE)


@click.group(cls=_Commands)
@click.version_option(package_name="turmericward")
@click.option(
    "--server",
    envvar="TURMERICWARD_SERVER",
    default="127.0.0.1:8000",
    show_default=True,
    help="Address of an entry, ip:port.",
)
@click.option("--key", envvar="TURMERICWARD_KEY", default="", help="Operator key.")
@click.option("--key-file", envvar="TURMERICWARD_KEY_FILE", help="File with the key.")
@click.pass_context
def main(ctx: click.Context, server: str, key: str, key_file: str | None) -> None:
    """Operates a turmericward deployment.

    Exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 version
    conflict, 4 server or log not reachable.
    """
    if ctx.invoked_subcommand not in (
        "check-config",
        "completion",
        "explain",
        "front-status",
        "losses",
    ):
        ctx.obj = _api.Api.create(server, key, key_file)


def _documents(path: str) -> list[dict]:
    text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text("utf-8")
    value = schema.loads(text, path)
    documents = value if isinstance(value, list) else [value]
    for doc in documents:
        if not isinstance(doc, dict) or not {"kind", "name", "value"} <= doc.keys():
            raise ValueError(f"{path}: an item lacks kind, name or value")
    return documents


def _path(kind: str, name: str = "") -> str:
    return f"/apis/v1/{kind}/{name}" if name else f"/apis/v1/{kind}"


@main.command()
@click.option("-f", "--file", "path", required=True, help="JSON file, - for stdin.")
@click.pass_obj
def apply(api: _api.Api, path: str) -> None:
    """Creates or replaces the resources in a file.

    A resource with a resourceVersion is replaced only at that version.
    """
    for doc in _documents(path):
        headers = {}
        if "resourceVersion" in doc:
            headers["If-Match"] = str(doc["resourceVersion"])
        url = _path(doc["kind"], doc["name"])
        done = api.request("PUT", url, doc["value"], headers)
        click.echo(f"{doc['kind']}/{doc['name']} version {done['resourceVersion']}")


@main.command()
@click.argument("kind")
@click.argument("name", required=False, default="")
@click.option("-o", "--output", type=click.Choice(["name", "json"]), default="name")
@click.pass_obj
def get(api: _api.Api, kind: str, name: str, output: str) -> None:
    """Prints one resource or all of a kind."""
    value = api.request("GET", _path(kind, name))
    if output == "json":
        click.echo(json.dumps(value, indent=2))
        return
    for item in [value] if name else value["items"]:
        click.echo(f"{item['kind']}/{item['name']} version {item['resourceVersion']}")


@main.command()
@click.argument("kind")
@click.option("--since", default=None, type=int, help="Version to start after.")
@click.pass_obj
def watch(api: _api.Api, kind: str, since: int | None) -> None:
    """Prints changes of a kind as JSON lines, and resumes after server restarts."""
    if since is None:
        since = api.request("GET", _path(kind))["resourceVersion"]
    while True:
        url = f"{_path(kind)}?watch=1&resourceVersion={since}"
        for line in api.lines(url):
            if line["type"] == "BOOKMARK":
                since = line["resourceVersion"]
            else:
                since = line["object"]["resourceVersion"]
                click.echo(json.dumps(line))


@main.command()
@click.argument("kind")
@click.argument("name")
@click.pass_obj
def delete(api: _api.Api, kind: str, name: str) -> None:
    """Deletes a resource."""
    api.request("DELETE", _path(kind, name))
    click.echo(f"{kind}/{name} deleted")


@main.command()
@click.argument("kind")
@click.argument("name")
@click.pass_obj
def status(api: _api.Api, kind: str, name: str) -> None:
    """Shows on how many entries of each domain a resource is in force."""
    value = api.request("GET", f"{_path(kind, name)}/status")
    click.echo(f"{kind}/{name} version {value['accepted']}")
    for domain, row in sorted(value["domains"].items()):
        click.echo(f"{domain}: in force on {row['in_force']} of {row['entries']}")


@main.command()
@click.argument("engine")
@click.option("--undo", is_flag=True, help="Returns the engine to service.")
@click.pass_obj
def drain(api: _api.Api, engine: str, undo: bool) -> None:
    """Drains an engine: it finishes its requests and gets no new ones."""
    api.request("PATCH", _path("engine", engine), {"drain": not undo})
    click.echo(f"engine/{engine} {'takes work' if undo else 'drains'}")


@main.command("check-config")
@click.argument("path")
def check_config(path: str) -> None:
    """Checks a settings file without starting anything."""
    try:
        settings.load(path)
    except settings.SettingsError as exc:
        for message in exc.args:
            click.echo(message, err=True)
        sys.exit(EXIT_USAGE)
    click.echo(f"{path}: settings are valid")


@main.command("front-status")
@click.argument("address")
def front_status(address: str) -> None:
    """Prints a front's status; ADDRESS is the ip:port of its metrics page."""
    for line in _front_status.lines(_front_status.fetch(address)):
        click.echo(line)


@main.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request_id: str, files) -> None:
    """Prints every decision about a request found in log files."""
    lines = [line for file in files for line in file]
    decisions = _explain.explain(request_id, lines)
    if not decisions:
        click.echo(f"request {request_id} isn't in these files", err=True)
        sys.exit(EXIT_REFUSED)
    for decision in decisions:
        click.echo(decision)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option(
    "--by-domain", is_flag=True, help="Counts each failure domain separately."
)
@click.option("-o", "--output", type=click.Choice(["table", "json"]), default="table")
def losses(files, by_domain: bool, output: str) -> None:
    """Counts late and lost calls in log files by outcome and first cause."""
    counts = _losses.count_losses(line for file in files for line in file)
    if output == "json":
        click.echo(json.dumps(_losses.as_json(counts), indent=2))
        return
    for row in _losses.table(counts, by_domain=by_domain):
        click.echo(row)


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Prints the command that enables completion in a shell."""
    variable = f"_TURMERICWARD_COMPLETE={shell}_source"
    if shell == "fish":
        click.echo(f"{variable} turmericward | source")
    else:
        click.echo(f'eval "$({variable} turmericward)"')


if __name__ == "__main__":
    main()
