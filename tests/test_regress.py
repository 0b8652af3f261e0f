"""The comparison of the bench's scores, with a journal made for these tests."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest
import tomli_w
from click.testing import CliRunner

from tools.regress import __main__ as regress
from tools.regress import entries, largest, meetings, served, sites

JOURNAL = Path(__file__).parent / "journal"


def test_falling_scores_and_broken_rules_are_objections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(regress, "JOURNAL", JOURNAL)
    result = CliRunner().invoke(regress.main, ["compare"])
    calm, storm = result.output.splitlines()[1:]
    assert calm.split() == ["a", "calm", "0.90", "0.88", "102"]
    assert storm.endswith("broken: ran_twice; fell by 0.04; 232 s of processor time")
    assert result.exit_code == 1


def test_changes_within_noise_are_no_objection(monkeypatch: pytest.MonkeyPatch) -> None:
    found = entries.read(JOURNAL)
    before = entries.last_full(found, "a")
    assert before is not None and before.id == "aaaa0001"
    now = found[1]
    now.days = now.days[:1]
    assert [row.objections for row in entries.compare(now, before)] == [""]


def test_an_unfinished_run_is_no_result(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(regress, "JOURNAL", JOURNAL)
    result = CliRunner().invoke(regress.main, ["compare", "aaaa0003"])
    assert "no result: the run did not finish" in result.output
    assert result.exit_code == 1


def test_a_missing_kit_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(regress, "BENCH", Path("no/such/bench"))
    result = CliRunner().invoke(regress.main, ["quick", "--why", "x"])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1 and "kit" in result.output


def test_an_invalid_entry_file_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "x.json").write_text("{}")
    with pytest.raises(ValueError, match="x.json"):
        entries.read(tmp_path)


SITE: dict[str, Any] = {
    "name": "town",
    "wire": "wire.json",
    "seed": 1,
    "warmup_s": 50.0,
    "duration_s": 200.0,
    "nodes": {"count": 3, "restart_delay_s": 4.0},
    "capacity": [{"type": "t", "zone": "z", "count": 7, "spot": 4}],
    "machines": [{"type": "t", "zone": "z", "count": 3, "spot": False}],
    "jobs": [{"name": "j", "initial": 5, "arrivals": {"rate": 0.5, "swing": 0.1}}],
    "day": [
        {"name": "calm", "light": False},
        {
            "name": "storm",
            "light": True,
            "faults": [
                {"at_s": 90.0, "kind": "machine_die", "count": 4},
                {"at_s": 99.0, "kind": "node_crash", "count": 2},
            ],
        },
    ],
}


def test_a_site_scaled_by_half(tmp_path: Path) -> None:
    source = tmp_path / "town.toml"
    source.write_text(tomli_w.dumps(SITE))
    (tmp_path / "wire.json").write_text("{}")
    scaled_path = sites.write(source, tmp_path / "made", 1.5, 0.2, 9)
    scaled = tomllib.loads(scaled_path.read_text())
    assert (scaled_path.parent / scaled["wire"]).exists()
    assert scaled["name"] == "town-x1.5" and scaled["nodes"] == {"count": 3, "restart_delay_s": 0.2}
    assert scaled["capacity"] == [{"type": "t", "zone": "z", "count": 10, "spot": 6}]
    assert scaled["machines"][0]["count"] == 4 and scaled["machines"][0]["spot"] is False
    assert scaled["jobs"][0]["initial"] == 8 and scaled["jobs"][0]["arrivals"]["rate"] == 0.75
    assert [fault["count"] for fault in scaled["day"][1]["faults"]] == [6, 2]
    assert sites.days(scaled_path, roughest_only=True) == ["storm"]
    assert sites.days(scaled_path, roughest_only=False) == ["calm", "storm"]
    (drawn,) = sites.write_days(scaled_path, [3])
    (day,) = tomllib.loads(drawn.read_text())["day"]
    assert {fault["kind"] for fault in day["faults"]} == {"machine_die", "node_crash"}
    assert all(60.0 <= fault["at_s"] <= 140.0 for fault in day["faults"])


def test_the_least_served_class_or_team(tmp_path: Path) -> None:
    path = tmp_path / "report.json"
    path.write_text(
        msgspec.json.encode(
            {
                "classes": {
                    "web": {"jobs": 9, "started": 9, "done": 0, "cancelled": 3, "up": 0.97},
                    "sums": {"jobs": 10, "started": 10, "done": 4, "cancelled": 2},
                    "none": {"jobs": 0, "started": 0, "done": 0, "cancelled": 0},
                },
                "teams": {"red": {"jobs": 100, "started": 45}},
                "rules_broken": {"by_kind": {}},
                "spent": {"processes": [10.0, 1.0]},
            }
        ).decode()
    )
    found = served.read(path)
    assert found.least_served() == served.ServedShare("red", 0.45)
    assert served.objections(found.least_served()) == "failed: 0.45 of red served"
    assert served.objections(served.ServedShare("sums", 0.5)) == "near: 0.50 of sums served"
    assert served.objections(served.ServedShare("sums", 0.6)) == ""
    assert found.processor_s == 11.0 and not found.broken


def test_the_least_served_class_by_the_journal() -> None:
    day = entries.Day(
        "d",
        aims=[
            ("wait sums 30 s: 0.31 (aim 0.8)", 0.1),
            ("finished sums 400 s: 0.7 (aim 0.8)", 0.5),
            ("deadline lists 1x: 0.6 (aim 0.9)", 0.2),
            ("submit 200 ms: 0.1 (aim 0.99)", 0.0),
        ],
    )
    assert served.least_served_by_aims(day) == served.ServedShare("lists", 0.6)


LOG = """
  1.0 n INFO umberward.decisions.scheduler: job_ready job=req-1 jobclass=gang tasks=4 size=112.0
  1.0 n INFO umberward.decisions.scheduler: job_ready job=req-2 jobclass=gang tasks=1 size=28.0
  1.0 n INFO umberward.decisions.scheduler: job_ready job=req-3 jobclass=web tasks=9 size=18.0
  2.0 n INFO umberward.decisions.reports: job_began job=req-2 waited_s=1.0
  2.5 n INFO umberward.decisions.reports: job_began job=req-3 waited_s=1.5
  9.0 n INFO umberward.decisions.scheduler: job_ended job=req-2 phase=done
  260.0 n INFO umberward.decisions.reports: job_began job=req-1 waited_s=259.0
""".splitlines()


def test_the_largest_jobs_of_each_class_are_checked_separately() -> None:
    gang, web = largest.read(LOG)
    # Only the larger of the two gangs counts, although the other one was served.
    assert gang == largest.LargestJobs("gang", 1, 0.0, 259.0)
    # Services never end; one that has started counts as served.
    assert web == largest.LargestJobs("web", 1, 1.0, 1.5)
    assert largest.objections([web]) == ""
    assert largest.objections([gang]) == (
        "failed: 0.00 of the largest of gang served; one of the largest of gang began after 259 s"
    )
    assert largest.summary([gang, web]) == "0.00 gang, began by 259 s gang"


def test_cancelled_jobs_are_not_expected_to_be_done() -> None:
    log = [*LOG[:4], "3.0 n INFO umberward.control.users: cancelled_by_user job=req-1"]
    assert largest.read(log)[0] == largest.LargestJobs("gang", 1, 1.0, 0.0)


def test_unlogged_cancellations_are_taken_from_the_bench() -> None:
    # Neither gang has started, and the bench counts only one of them as cancelled.
    assert largest.read(LOG[:4], {"gang": 1})[0].share == 0.0
    assert largest.read(LOG[:5], {"gang": 1})[0] == largest.LargestJobs("gang", 1, 1.0, 0.0)


def test_a_started_job_cancelled_without_a_log_line_must_have_started_in_time() -> None:
    gang = largest.read(LOG, {"gang": 1})[0]
    assert gang == largest.LargestJobs("gang", 1, 1.0, 259.0)
    # No more jobs are exempt than the bench counts as cancelled.
    assert largest.read(LOG, {"gang": 0})[0].share == 0.0


def test_days_of_meetings_are_derived_from_the_deployment() -> None:
    site = {**SITE, "workers": {"lease_s": 10.0, "cancel_s": 30.0}}
    site["capacity"] = [{"count": 60, "spot": 40}]
    planned_days = meetings.days(site, seed=3, pairs=2)
    assert [planned.day["name"] for planned in planned_days[-2:]] == ["pair-3-0", "pair-3-1"]
    assert len(planned_days) == len(meetings.COMBINATIONS) + 2
    gap = planned_days[0].day
    assert planned_days[0].variant == ""
    outages = [fault for fault in gap["faults"] if fault["kind"] == "state_outage"]
    assert all(fault["for_s"] > 30.0 for fault in outages) and len(outages) == 2
    ends = max(fault["at_s"] + fault.get("for_s", 0.0) for fault in gap["faults"])
    assert gap["duration_s"] == ends + meetings.FAULT_FREE_END_S
    assert (
        planned_days == meetings.days(site, seed=3, pairs=2) != meetings.days(site, seed=4, pairs=2)
    )


@pytest.mark.parametrize("variant", sites.VARIANTS)
def test_a_variant_changes_nothing_else(variant: str) -> None:
    array = {**SITE["jobs"][0], "kind": "array"}
    types = [{"name": "t", "cpus": 8.0, "boot_s": 30.0}]
    site = {**SITE, "jobs": [array], "machine_types": types, "teams": [{"name": "r", "count": 2}]}
    changed = sites.VARIANTS[variant](site)
    assert changed != site
    field = {"limited": "teams", "quick-boots": "machine_types", "small-jobs": "jobs"}[variant]
    assert {**changed, field: None} == {**site, field: None}
    if variant == "limited":  # each of the two teams gets half
        assert changed["teams"][0]["cpus_max"] == sites.TEAM_LIMIT_SHARE * 7 * 8.0 / 2


def test_unknown_names_are_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    kit = tmp_path / "kit"
    for name in [*regress.HUNT, regress.LENDING]:
        (kit / name).parent.mkdir(parents=True, exist_ok=True)
        site = {**SITE, "workers": {"lease_s": 10.0, "cancel_s": 30.0}}
        (kit / name).write_text(tomli_w.dumps(site))
        (kit / name).with_name("wire.json").write_text("{}")
    monkeypatch.setattr(regress, "KIT", kit)
    monkeypatch.setattr(regress, "BENCH", kit)
    monkeypatch.setattr(regress, "SITES", tmp_path / "sites")
    required_args = ["meetings", "--why", "x"]
    for args in (
        [*required_args, "--day", "nonsense"],
        [*required_args, "--only", "nonsense"],
        [*required_args, "--seed", "nonsense"],
        ["nonsense"],
    ):
        result = CliRunner().invoke(regress.main, args)
        assert result.exit_code == 2 and result.output.count("\n") == 1
        assert "nonsense" in result.output
