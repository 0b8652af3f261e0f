"""The comparison of the bench's figures, on a journal written for it."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from tools.regress import __main__ as regress
from tools.regress import entries

JOURNAL = Path(__file__).parent / "journal"


def test_falls_and_broken_rules_speak_against_landing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(regress, "JOURNAL", JOURNAL)
    result = CliRunner().invoke(regress.main, ["compare"])
    calm, storm = result.output.splitlines()[1:]
    assert calm.split() == ["a", "calm", "0.90", "0.88", "102"]
    assert storm.endswith("broken: ran_twice; fell by 0.04; 232 s of processor time")
    assert result.exit_code == 1


def test_what_is_within_noise_may_land(monkeypatch: pytest.MonkeyPatch) -> None:
    found = entries.read(JOURNAL)
    before = entries.last_full(found, "a")
    assert before is not None and before.id == "aaaa0001"
    now = found[1]
    now.days = now.days[:1]
    assert [row.wrong for row in entries.compare(now, before)] == [""]


def test_a_run_that_is_not_over_is_no_result(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(regress, "JOURNAL", JOURNAL)
    result = CliRunner().invoke(regress.main, ["compare", "aaaa0003"])
    assert "no result: the run did not finish" in result.output
    assert result.exit_code == 1


def test_without_the_kit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(regress, "BENCH", Path("no/such/bench"))
    result = CliRunner().invoke(regress.main, ["quick", "--why", "x"])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1 and "kit" in result.output


def test_a_file_that_is_no_entry(tmp_path: Path) -> None:
    (tmp_path / "x.json").write_text("{}")
    with pytest.raises(ValueError, match="x.json"):
        entries.read(tmp_path)
