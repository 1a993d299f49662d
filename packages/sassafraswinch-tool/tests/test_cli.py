"""Tests of the commands of the operators' tool: text, JSON and exit codes."""

import json
import os
import signal
import subprocess
import sys

import pytest

from sassafraswinch_tool.cli import run
from sassafraswinch_tool.tables import format_table

SETTINGS = "host: a\nentry: 127.0.0.1:1\nnonsense: 1\n"


def test_status_of_one_node_shows_its_details(fleet, capsys):
    assert run(["status", fleet.addresses[0]]) == 0
    text = capsys.readouterr().out
    assert "brno-a-1" in text and "retries" in text and "link to" in text


def test_status_shows_unreachable_nodes_beside_the_others(fleet, capsys):
    assert run(["status", "--hosts", fleet.platform_url]) == 3
    text = capsys.readouterr().out
    assert "brno-a-1" in text and "brno-b-1" in text
    assert f"{fleet.closed_address}  unreachable: connection refused" in text


def test_status_as_json_has_every_address(fleet, capsys):
    assert run(["status", fleet.addresses[0], fleet.closed_address, "--json"]) == 3
    first, second = json.loads(capsys.readouterr().out)
    assert (first["status"]["host"], first["error"]) == ("brno-a-1", "")
    assert (second["address"], second["status"]) == (fleet.closed_address, None)


@pytest.mark.parametrize(
    ("fields", "problem"),
    [
        ({"state": "syncing"}, "brno-b-1 is syncing"),
        ({"document_faults": ("classes.0: bad",)}, "brno-b-1: classes.0: bad"),
        ({"document_version": 2}, "documents in force differ: 2 (00ff) on brno-b-1"),
        ({"document_digest": "aa"}, "documents in force differ: 3 (00ff) on brno-a-1"),
    ],
)
def test_status_lists_problems(fleet, capsys, fields, problem):
    fleet.second.update_status(**fields)
    assert run(["status", *fleet.addresses]) == 1
    assert f"problem: {problem}" in capsys.readouterr().out


def test_address_that_is_not_a_node_is_shown_as_unreachable(fleet, capsys):
    platform_address = fleet.platform_url.removeprefix("http://")
    assert run(["status", platform_address]) == 3
    assert (
        "unreachable: HTTP status 404 instead of 200 for /status"
        in capsys.readouterr().out
    )


def test_given_nodes_are_shown_if_the_platform_fails(fleet, capsys):
    fleet.host_list_http_status = 500
    assert run(["status", fleet.addresses[0], "--hosts", fleet.platform_url]) == 3
    shown = capsys.readouterr()
    assert "brno-a-1" in shown.out
    assert "platform unreachable" in shown.err


def test_burn_merges_nodes_and_writes_page_and_picture(fleet, capsys, tmp_path):
    fleet.first.record_calls(good=90)
    fleet.second.record_calls(good=60, refused=50, operation="approve $x$")
    page, picture = tmp_path / "burn.html", tmp_path / "burn.png"
    files = ["--html", str(page), "--picture", str(picture)]
    assert run(["burn", *fleet.addresses, *files]) == 1
    text = capsys.readouterr().out
    assert "page: paying / approve $x$ burns at 45.5 over 1m and 5m" in text
    assert "99% in 100 ms" in text and "overloaded 50" in text
    assert page.read_text().startswith("<!DOCTYPE html>")
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_burn_as_json_for_scripts(fleet, capsys):
    fleet.first.record_calls(good=10)
    fleet.second.record_calls(good=5)
    assert run(["burn", *fleet.addresses, fleet.closed_address, "--json"]) == 3
    found = json.loads(capsys.readouterr().out)
    assert found["report"]["series"][0]["total"]["good"] == 15
    assert found["unreachable"][0]["address"] == fleet.closed_address


def test_burn_without_calls_prints_a_message(fleet, capsys):
    assert run(["burn", fleet.addresses[0]]) == 0
    assert "no calls" in capsys.readouterr().out


def test_watch_stops_after_the_given_count_of_views(fleet, capsys):
    fleet.first.record_calls(good=10)
    arguments = ["--count", "2", "--interval-ms", "100"]
    assert run(["watch", fleet.addresses[0], *arguments]) == 0
    assert capsys.readouterr().out.count("paying / approve") == 2


def test_watch_exits_with_0_on_control_c(fleet):
    """Ctrl-C ends ``watch`` with exit code 0 and without a traceback.

    It is the usual way to end the command, so scripts must see it as success.
    """
    code = "from sassafraswinch_tool.cli import main; main()"
    child = subprocess.Popen(
        [sys.executable, "-c", code, "watch", fleet.addresses[0]],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
        text=True,
    )
    assert child.stdout.readline().startswith("host")
    child.send_signal(signal.SIGINT)
    _, errors = child.communicate(timeout=30)
    assert (child.returncode, errors) == (0, "")


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["status"], "no nodes"),
        (["status", "127.0.0.1", "1.2.3.4:99999"], "expected ip:port"),
        (["status", "--hosts", "ftp://1.2.3.4"], "expected http://IP:PORT"),
        (["watch", "127.0.0.1:1", "--count", "0"], "at least 1"),
        (["watch", "127.0.0.1:1", "--interval-ms", "1"], "at least 100 ms"),
        (["explain", "/no/file", "--operation", "x"], "can't be read"),
    ],
)
def test_invalid_input_is_reported_and_exits_with_2(capsys, arguments, message):
    assert run(arguments) == 2
    assert message in capsys.readouterr().err


def test_all_invalid_addresses_are_reported_together(capsys):
    run(["status", "nowhere", "1.2.3.4:x"])
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_unwritable_output_file_is_reported(fleet, capsys):
    assert run(["burn", fleet.addresses[0], "--html", "/no/folder/x.html"]) == 2
    assert "/no/folder/x.html" in capsys.readouterr().err


def test_check_distinguishes_settings_from_documents(capsys, tmp_path):
    settings = tmp_path / "node.yaml"
    settings.write_text(SETTINGS)
    assert run(["check", str(settings)]) == 2
    faults = capsys.readouterr().err
    assert f"{settings}: nonsense: " in faults and f"{settings}: backend: " in faults
    document = tmp_path / "document.yaml"
    document.write_text("version: 0\nclases: []\n")
    assert run(["check", str(document), "--json"]) == 2
    found = json.loads(capsys.readouterr().out)
    assert found["kind"] == "document"
    assert {"version", "clases"} <= {fault["field"] for fault in found["faults"]}


@pytest.mark.parametrize("command", ["check", "explain", "status", "burn", "watch"])
def test_help_of_each_command_has_an_example_and_its_exit_codes(capsys, command):
    with pytest.raises(SystemExit) as exit_info:
        run([command, "--help"])
    text = capsys.readouterr().out
    assert exit_info.value.code == 0
    assert f"sassafraswinch {command}" in text and "Exit codes: 0" in text


def test_control_characters_from_nodes_are_replaced(fleet, capsys):
    """A host name that holds a terminal escape sequence is printed harmlessly.

    Unescaped, the sequence would clear the screen and hide the lines before it.
    """
    fleet.first.update_status(host="a\x1b[2J\nb")
    run(["status", fleet.addresses[0]])
    text = capsys.readouterr().out
    assert "\x1b" not in text and "a?[2J?b" in text


def test_numeric_columns_are_right_aligned_and_others_left():
    rows = [("long-name", 5, "-"), ("x", 1000, "12s")]
    assert format_table(("host", "calls", "age"), rows) == [
        "host       calls  age",
        "long-name      5    -",
        "x           1000  12s",
    ]
