"""Command line: ``python -m fireflystandins.load``."""

import dataclasses
import pathlib
import sys
import tempfile
import typing

import cappa
import rich.console
import rich.progress

from fireflypulley.cli import output
from fireflypulley.core import findings
from fireflystandins.load import plans
from fireflystandins.load import player
from fireflystandins.load import plots
from fireflystandins.load import results


@cappa.command(name="play")
@dataclasses.dataclass
class Play:
    """Play a file of load and faults; write results.csv and plot.svg."""

    plan: pathlib.Path
    out: typing.Annotated[
        pathlib.Path, cappa.Arg(long="--out", help="Folder for the results.")
    ]

    def __call__(self) -> None:
        """Play the plan."""
        try:
            plan = plans.read(self.plan)
        except findings.InvalidInput as error:
            print(error, file=sys.stderr)
            raise cappa.Exit(code=2)
        self.out.mkdir(parents=True, exist_ok=True)
        console = rich.console.Console(stderr=True)
        with (
            tempfile.TemporaryDirectory() as folder,
            rich.progress.Progress(console=console) as bar,
        ):
            task_id = bar.add_task("playing", total=plan.load.duration_s)
            rows = player.Player(plan, pathlib.Path(folder)).play(
                lambda at_s: bar.update(task_id, completed=at_s)
            )
            bar.update(task_id, completed=plan.load.duration_s)
        results.write_csv(self.out / "results.csv", rows)
        plots.write_plot(self.out / "plot.svg", {"": rows})
        output.Printer(as_json=False).show(rows)


@cappa.command(name="compare")
@dataclasses.dataclass
class Compare:
    """Show the results of several runs side by side; write a plot."""

    folders: list[pathlib.Path]
    plot: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--plot", help="SVG file for the percentiles."),
    ] = None

    def __call__(self) -> None:
        """Print the tables; write the plot if asked for."""
        tables = {
            str(folder): results.read_csv(folder / "results.csv")
            for folder in self.folders
        }
        output.Printer(as_json=False).show(results.side_by_side(tables))
        if self.plot is not None:
            plots.write_plot(self.plot, tables)


@cappa.command(name="fireflystandins.load")
@dataclasses.dataclass
class Main:
    """Play load and faults against gateway nodes on loopback."""

    command: cappa.Subcommands[Play | Compare]


if __name__ == "__main__":
    cappa.invoke(Main)
