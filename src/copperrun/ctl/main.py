"""``copperrunctl``: the operators' command line."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence

from absl import app
from absl.flags import argparse_flags

from copperrun.adapters.logs import configure_logs
from copperrun.adapters.timers import SystemTimers
from copperrun.ctl import checking
from copperrun.ctl import commands
from copperrun.ctl import timeline
from copperrun.ctl.errors import ToolError
from copperrun.ctl.errors import ToolErrorReason
from copperrun.ctl.output import Output

DEFAULT_SETTINGS = "copperrunctl.yaml"
DEFAULT_TIMEOUT_S = 15.0


def main() -> None:
    """Run ``copperrunctl``."""
    app.run(_main, flags_parser=_parse_arguments)


def _main(arguments: argparse.Namespace) -> None:
    configure_logs("error", "copperrunctl", sys.stderr.fileno(), SystemTimers())
    output = Output(as_json=arguments.json)
    try:
        error = asyncio.run(arguments.run(arguments, output))
    except KeyboardInterrupt:
        error = ToolError(ToolErrorReason.FAILED, "interrupted")
    if error is not None:
        print(f"copperrunctl: {error.detail}", file=sys.stderr)
        sys.exit(error.reason.value)


def _parse_arguments(argv: Sequence[str]) -> argparse.Namespace:
    parser = argparse_flags.ArgumentParser(
        prog="copperrunctl",
        description="Operate a copperrun installation.",
        epilog="Exit codes: 0 done, 1 failed, 2 wrong input, 3 change rejected, "
        "4 platform not reached.",
    )
    parser.add_argument(
        "--settings", default=DEFAULT_SETTINGS, help="YAML file with the tool settings"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    subparsers = parser.add_subparsers(dest="command", required=True)
    _add_configuration_commands(subparsers)
    _add_instance_commands(subparsers)
    _add_log_commands(subparsers)
    namespace: argparse.Namespace = parser.parse_args(argv[1:])
    return namespace


def _add_configuration_commands(subparsers: argparse._SubParsersAction) -> None:
    validate = subparsers.add_parser("validate", help="check a configuration file")
    validate.add_argument("file")
    validate.set_defaults(run=commands.validate)
    publish = subparsers.add_parser(
        "publish", help="publish a configuration file and wait until it is in force"
    )
    publish.add_argument("file")
    _add_publication_flags(publish)
    publish.set_defaults(run=commands.publish)
    show = subparsers.add_parser("show", help="print the configuration in force")
    show.set_defaults(run=commands.show)
    preset = subparsers.add_parser("preset", help="list presets or switch to one")
    actions = preset.add_subparsers(dest="action", required=True)
    actions.add_parser("list", help="list presets").set_defaults(
        run=commands.list_presets
    )
    use = actions.add_parser("use", help="put a preset in force")
    use.add_argument("preset")
    _add_publication_flags(use)
    use.set_defaults(run=commands.use_preset)

    config = subparsers.add_parser("config", help="look at configuration files")
    actions = config.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check",
        help="print the problems of a configuration file, and what it would change",
    )
    check.add_argument("file")
    check.add_argument(
        "--against",
        metavar="ADDRESS|FILE",
        help="HOST:PORT of the platform's log or store, or another file",
    )
    check.add_argument("--format", choices=("text", "json"), default="text")
    check.set_defaults(run=checking.check)


def _add_instance_commands(subparsers: argparse._SubParsersAction) -> None:
    status = subparsers.add_parser("status", help="print every instance's status")
    status.set_defaults(run=commands.status)
    drain = subparsers.add_parser(
        "drain", help="let an instance finish its requests and exit"
    )
    drain.add_argument("instance")
    drain.set_defaults(run=commands.drain)
    token = subparsers.add_parser("token", help="caller keys")
    actions = token.add_subparsers(dest="action", required=True)
    create = actions.add_parser("create", help="create a key for a caller")
    create.add_argument("caller")
    create.set_defaults(run=commands.create_token)


def _add_log_commands(subparsers: argparse._SubParsersAction) -> None:
    explain = subparsers.add_parser(
        "explain", help="print one request's timeline from JSON logs"
    )
    explain.add_argument("request", help="request id")
    explain.add_argument("files", nargs="*", help="log files; standard input if none")
    explain.set_defaults(run=timeline.explain)


def _add_publication_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--dry-run", action="store_true", help="only print the changes")
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        help="seconds to wait until the change is in force",
    )
