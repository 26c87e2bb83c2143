"""Builds of the programs: the one at hand, and earlier ones."""

import ast
import asyncio
import compileall
import dataclasses
import pathlib
import subprocess
import tarfile
from typing import Any
from typing import Final

REPOSITORY: Final = pathlib.Path(__file__).resolve().parent.parent
#: What a build consists of.
FOLDERS: Final = ("lagooncrank", "platform")
PROGRAM: Final = pathlib.Path("platform") / "run.py"
#: Where a build declares the fields of its settings.
SETTINGS_MODULE: Final = pathlib.Path("lagooncrank/settings/_seeded.py")
#: Part of the builds that plan their stops.
STOP_PLAN_MODULE: Final = pathlib.Path("lagooncrank/core/drain/_stop_plan.py")
SETTINGS_CLASS: Final = "SeededSettings"
#: Name of the build at hand in reports.
CURRENT_NAME: Final = "current"


class ExportError(Exception):
    """A commit's build cannot be exported."""

    def __init__(self, commit: str, reason: str) -> None:
        super().__init__(
            f"build {commit} cannot be exported: {reason} (a shallow clone "
            "lacks it: git fetch --unshallow)"
        )
        self.commit = commit


@dataclasses.dataclass(frozen=True, slots=True)
class Build:
    """One version of the programs and the settings that it knows."""

    #: Commit, or `CURRENT_NAME`.
    name: str
    #: Folder that holds the build's folders.
    root: pathlib.Path
    #: Fields of its settings; it refuses to start with others.
    settings_fields: frozenset[str]

    @classmethod
    def from_folder(cls, name: str, root: pathlib.Path) -> "Build":
        """Returns the build in a folder."""
        source = (root / SETTINGS_MODULE).read_text()
        return cls(name, root, class_fields(source, SETTINGS_CLASS))

    @classmethod
    def current(cls) -> "Build":
        """Returns the build at hand."""
        return cls.from_folder(CURRENT_NAME, REPOSITORY)

    @property
    def program(self) -> pathlib.Path:
        """Path of the program that a node runs."""
        return self.root / PROGRAM

    @property
    def plans_stops(self) -> bool:
        """Whether it takes late in a stop only what ends before the cut."""
        return (self.root / STOP_PLAN_MODULE).exists()

    def settings(self, content: dict[str, Any]) -> dict[str, Any]:
        """Returns those settings that this build knows."""
        return {k: v for k, v in content.items() if k in self.settings_fields}


def class_fields(source: str, class_name: str) -> frozenset[str]:
    r"""Returns the names of a class's annotated fields.

    >>> sorted(class_fields("class A:\n  x: int\n  y: int = 1", "A"))
    ['x', 'y']
    """
    classes = (
        node
        for node in ast.parse(source).body
        if isinstance(node, ast.ClassDef) and node.name == class_name
    )
    return frozenset(
        statement.target.id
        for node in classes
        for statement in node.body
        if isinstance(statement, ast.AnnAssign)
        and isinstance(statement.target, ast.Name)
    )


async def export(
    commit: str,
    folder: pathlib.Path,
    repository: pathlib.Path = REPOSITORY,
) -> Build:
    """Exports a commit's build from the repository's history.

    Raises:
        ExportError: The repository does not hold the commit.
    """
    return await asyncio.to_thread(_export, commit, folder, repository)


def _export(
    commit: str, folder: pathlib.Path, repository: pathlib.Path
) -> Build:
    root = folder / f"build-{commit}"
    root.mkdir()
    archive = folder / f"build-{commit}.tar"
    command = ["git", "archive", "-o", str(archive), commit, *FOLDERS]
    done = subprocess.run(
        command, cwd=repository, capture_output=True, text=True, check=False
    )
    if done.returncode:
        raise ExportError(commit, done.stderr.strip())
    with tarfile.open(archive) as opened:
        opened.extractall(root, filter="data")
    archive.unlink()
    # As the provider's build does; a start would take seconds otherwise.
    compileall.compile_dir(root, quiet=1)
    return Build.from_folder(commit, root)
