"""Builds of earlier commits: exported from a repository's history, or refused with the reason."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from test_upgrade import FAULTY_COMMIT, PATCH_RELEASE_COMMIT

from umberward.cli.builds import EXIT_KNOWN_FAULT
from umberward.cli.main import main
from umberward.cli.settings_files import EXIT_INVALID_SETTINGS
from umberward.local.builds import (
    DEPLOY_FILE,
    BuildNotAvailableError,
    current_build,
    export_build,
    production_commit,
    repository_root,
)


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    folder = tmp_path / "repository"
    folder.mkdir()
    _git(folder, "init", "--quiet")
    return folder


def _git(folder: Path, *arguments: str) -> None:
    author = ["-c", "user.name=test", "-c", "user.email=test@example.invalid"]
    subprocess.run(["git", *author, *arguments], cwd=folder, check=True, capture_output=True)


def _commit(folder: Path, files: dict[str, str]) -> None:
    for name, text in files.items():
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        (folder / name).write_text(text)
    _git(folder, "add", "--all")
    _git(folder, "commit", "--quiet", "--message", "a commit")


def _export(repository: Path, commit: str = "HEAD") -> str:
    folder = repository.parent / "exported"
    folder.mkdir()
    return export_build(commit, repository, folder).name


def test_build_of_a_commit_runs_its_package_and_not_this_one(repository: Path) -> None:
    _commit(repository, {"umberward/__init__.py": "", "umberward/__main__.py": "print('old')\n"})
    folder = repository.parent
    build = export_build("HEAD", repository, folder)
    command = [sys.executable, "-m", "umberward"]
    output = subprocess.run(
        command, cwd="/", env=build.environment(), check=True, capture_output=True
    ).stdout
    assert output == b"old\n"
    assert build.commit is not None and build.commit.startswith(build.name)
    assert current_build().folder is None


def test_package_that_does_not_load_is_refused(repository: Path) -> None:
    _commit(repository, {"umberward/__init__.py": "", "umberward/__main__.py": "import absent_\n"})
    with pytest.raises(BuildNotAvailableError, match="does not load: .*absent_"):
        _export(repository)


def test_commit_without_the_package_is_refused(repository: Path) -> None:
    _commit(repository, {"README": "text"})
    with pytest.raises(BuildNotAvailableError, match="git archive failed"):
        _export(repository)


@pytest.mark.parametrize("commit", ["", "--all", "no-such-branch", "0" * 40])
def test_what_is_not_a_commit_is_refused(repository: Path, commit: str) -> None:
    _commit(repository, {"README": "text"})
    with pytest.raises(BuildNotAvailableError, match="is not a commit"):
        _export(repository, commit)


def test_missing_git_is_refused(repository: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PATH", "")
    with pytest.raises(BuildNotAvailableError, match="git can't be run"):
        _export(repository, "v1")


@pytest.mark.parametrize("text", ["", "production = 7\n", "production ="])
def test_deploy_file_without_a_production_commit_is_refused(tmp_path: Path, text: str) -> None:
    deploy_file = tmp_path / "service.toml"
    deploy_file.write_text(text)
    with pytest.raises(BuildNotAvailableError, match="production"):
        production_commit(deploy_file)


def test_production_commit_of_this_repository_is_read() -> None:
    assert len(production_commit(repository_root() / DEPLOY_FILE)) == 40


@pytest.mark.parametrize(
    ("production", "exit_code", "expected"),
    [
        (FAULTY_COMMIT, EXIT_KNOWN_FAULT, PATCH_RELEASE_COMMIT),
        (PATCH_RELEASE_COMMIT, 0, "(no known fault)"),
        ("e4ec351f691f7eab2a1b41ebcf73f40b87a16687", 0, "(no known fault)"),  # says 0.1.0 too
        ("f" * 40, EXIT_INVALID_SETTINGS, "is not a commit"),
        ("", EXIT_INVALID_SETTINGS, "is not a commit"),
        (None, EXIT_INVALID_SETTINGS, "records no production commit"),
    ],
)
def test_recorded_version_with_a_known_fault_is_named_before_a_roll(
    tmp_path: Path,
    production: str | None,
    exit_code: int,
    expected: str,
) -> None:
    checkout = tmp_path / "checkout"
    subprocess.run(["git", "clone", "-q", "-s", "-n", repository_root(), checkout], check=True)
    deploy_file = checkout / "service.toml"
    if production is not None:
        deploy_file.write_text(f'production = "{production}"\n')
    result = CliRunner().invoke(main, ["builds", "--deploy", str(deploy_file)])
    assert (result.exit_code, expected in result.output) == (exit_code, True), result.output
    assert (f'production = "{PATCH_RELEASE_COMMIT}"' in result.output) == (
        exit_code == EXIT_KNOWN_FAULT
    )
