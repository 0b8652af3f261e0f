"""Builds that the controllers of a local cluster can run: this one, or one of an earlier commit."""

from __future__ import annotations

import io
import os
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path
from typing import NamedTuple

from umberward.core.build_identity import read_build

PACKAGE = "umberward"
DEPLOY_FILE = "deploy/service.toml"
COMMIT_NAME_LENGTH = 12  # characters of the commit id in the name of its build
NOT_AN_ANCESTOR = 1  # exit status of git merge-base --is-ancestor
START_TIMEOUT_S = 30.0  # for the check that a build can be loaded


class BuildNotAvailableError(Exception):
    """The build of a commit can't be found, exported or started; the text says why."""


class ControllerBuild(NamedTuple):
    """A build that controllers can run.

    `folder` has its package; None: it is that of this process. `commit` is None for this process.
    """

    name: str
    folder: Path | None = None
    commit: str | None = None

    def environment(self) -> dict[str, str]:
        """The environment of a process that runs this build."""
        paths = [str(self.folder or repository_root()), os.environ.get("PYTHONPATH", "")]
        return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}


def current_build() -> ControllerBuild:
    """The build of this process."""
    return ControllerBuild(read_build())


def repository_root() -> Path:
    """The checkout that this package runs from."""
    return Path(__file__).resolve().parents[2]


def production_commit(deploy_file: Path) -> str:
    """The commit that a deploy file records as running in production.

    Raises BuildNotAvailableError.
    """
    try:
        commit = tomllib.loads(deploy_file.read_text())["production"]
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, KeyError) as error:
        reason = f"{deploy_file} records no production commit: {error}"
        raise BuildNotAvailableError(reason) from None
    if not isinstance(commit, str):
        reason = f"{deploy_file}: production is not a text"
        raise BuildNotAvailableError(reason)
    return commit


def export_build(commit: str, repository: Path, folder: Path) -> ControllerBuild:
    """Export the package of a commit from the repository's history, and check that it loads.

    `commit` is anything that git resolves to one; `folder` must exist and be empty. Raises
    BuildNotAvailableError.
    """
    commit_id = resolve_commit(commit, repository)
    try:
        archive = _git(repository, "archive", commit_id, PACKAGE)
    except subprocess.CalledProcessError as error:
        reason = f"git archive failed: {_last_line(error.stderr)}"
        raise BuildNotAvailableError(reason) from None
    with tarfile.open(fileobj=io.BytesIO(archive)) as content:
        content.extractall(folder, filter="data")
    build = ControllerBuild(commit_id[:COMMIT_NAME_LENGTH], folder, commit_id)
    _check_loads(build)
    return build


def resolve_commit(commit: str, repository: Path) -> str:
    """The id of what git resolves to a commit. Raises BuildNotAvailableError."""
    reason = f"{commit!r} is not a commit in the history of the repository"
    if not commit or commit.startswith("-"):
        raise BuildNotAvailableError(reason)
    try:
        resolved = _git(repository, "rev-parse", "--verify", "--quiet", f"{commit}^{{commit}}")
    except subprocess.CalledProcessError:
        raise BuildNotAvailableError(reason) from None
    return resolved.decode().strip()


def has_ancestor(commit: str, ancestor: str, repository: Path) -> bool:
    """Whether a commit is, or has in its history, another one. Raises BuildNotAvailableError."""
    ancestor_id = resolve_commit(ancestor, repository)
    try:
        _git(repository, "merge-base", "--is-ancestor", ancestor_id, commit)
    except subprocess.CalledProcessError as error:
        if error.returncode == NOT_AN_ANCESTOR:
            return False
        reason = f"git merge-base failed: {_last_line(error.stderr)}"
        raise BuildNotAvailableError(reason) from None
    return True


def _git(repository: Path, *arguments: str) -> bytes:
    """Run git and return its output. Raises BuildNotAvailableError and CalledProcessError."""
    command = ["git", "-C", str(repository), *arguments]
    try:
        return subprocess.run(command, check=True, capture_output=True).stdout
    except OSError as error:
        reason = f"git can't be run: {error}"
        raise BuildNotAvailableError(reason) from None


def _check_loads(build: ControllerBuild) -> None:
    """Load the build's command line. Raises BuildNotAvailableError if that fails."""
    command = [sys.executable, "-m", PACKAGE, "--help"]
    try:
        subprocess.run(
            command,
            check=True,
            capture_output=True,
            cwd=build.folder,
            env=build.environment(),
            timeout=START_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        reason = f"{build.name} does not load within {START_TIMEOUT_S:.0f} s"
        raise BuildNotAvailableError(reason) from None
    except subprocess.CalledProcessError as error:
        reason = f"{build.name} does not load: {_last_line(error.stderr)}"
        raise BuildNotAvailableError(reason) from None


def _last_line(output: bytes) -> str:
    return output.decode(errors="replace").strip().rpartition("\n")[2]
