"""Tests of the operators' tool as a person or a script uses it."""

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


def test_status_shows_the_unreachable_and_still_the_rest(fleet, capsys):
    assert run(["status", "--hosts", fleet.platform]) == 3
    text = capsys.readouterr().out
    assert "brno-a-1" in text and "brno-b-1" in text
    assert f"{fleet.dead}  unreachable: connection refused" in text


def test_status_as_json_has_every_address(fleet, capsys):
    assert run(["status", fleet.addresses[0], fleet.dead, "--json"]) == 3
    first, second = json.loads(capsys.readouterr().out)
    assert (first["status"]["host"], first["error"]) == ("brno-a-1", "")
    assert (second["address"], second["status"]) == (fleet.dead, None)


@pytest.mark.parametrize(
    ("fields", "problem"),
    [
        ({"state": "syncing"}, "brno-b-1 is syncing"),
        ({"document_faults": ("classes.0: bad",)}, "brno-b-1: classes.0: bad"),
        ({"document_version": 2}, "documents in force differ: 2 (00ff) on brno-b-1"),
        ({"document_digest": "aa"}, "documents in force differ: 3 (00ff) on brno-a-1"),
    ],
)
def test_status_names_what_is_wrong(fleet, capsys, fields, problem):
    fleet.two.change(**fields)
    assert run(["status", *fleet.addresses]) == 1
    assert f"problem: {problem}" in capsys.readouterr().out


def test_an_address_that_is_no_node_is_shown_as_such(fleet, capsys):
    platform = fleet.platform.removeprefix("http://")
    assert run(["status", platform]) == 3
    assert "unreachable: status 404 for /status" in capsys.readouterr().out


def test_a_platform_that_fails_leaves_the_given_nodes(fleet, capsys):
    fleet.list_status = 500
    assert run(["status", fleet.addresses[0], "--hosts", fleet.platform]) == 3
    shown = capsys.readouterr()
    assert "brno-a-1" in shown.out
    assert "platform unreachable" in shown.err


def test_burn_adds_nodes_up_and_writes_page_and_picture(fleet, capsys, tmp_path):
    fleet.one.record(good=90)
    fleet.two.record(good=60, refused=50, operation="approve $x$")
    page, picture = tmp_path / "burn.html", tmp_path / "burn.png"
    files = ["--html", str(page), "--picture", str(picture)]
    assert run(["burn", *fleet.addresses, *files]) == 1
    text = capsys.readouterr().out
    assert "page: paying / approve $x$ burns at 45.5 over 1m and 5m" in text
    assert "99% in 100 ms" in text and "overloaded 50" in text
    assert page.read_text().startswith("<!DOCTYPE html>")
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_burn_as_json_for_scripts(fleet, capsys):
    fleet.one.record(good=10)
    fleet.two.record(good=5)
    assert run(["burn", *fleet.addresses, fleet.dead, "--json"]) == 3
    found = json.loads(capsys.readouterr().out)
    assert found["report"]["series"][0]["total"]["good"] == 15
    assert found["unreachable"][0]["address"] == fleet.dead


def test_burn_without_calls_says_so(fleet, capsys):
    assert run(["burn", fleet.addresses[0]]) == 0
    assert "no calls" in capsys.readouterr().out


def test_watch_draws_as_often_as_asked(fleet, capsys):
    fleet.one.record(good=10)
    arguments = ["--count", "2", "--interval-ms", "100"]
    assert run(["watch", fleet.addresses[0], *arguments]) == 0
    assert capsys.readouterr().out.count("paying / approve") == 2


def test_watch_ends_well_on_control_c(fleet):
    """An operator watches for a while and presses Ctrl-C.

    That is the ordinary way to end, so a script around it must see success and no
    traceback.
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
    ("arguments", "told"),
    [
        (["status"], "no nodes"),
        (["status", "127.0.0.1", "1.2.3.4:99999"], "expected ip:port"),
        (["status", "--hosts", "ftp://1.2.3.4"], "expected http://IP:PORT"),
        (["watch", "127.0.0.1:1", "--count", "0"], "at least 1"),
        (["watch", "127.0.0.1:1", "--interval-ms", "1"], "at least 100 ms"),
        (["explain", "/no/file", "--operation", "x"], "can't be read"),
    ],
)
def test_wrong_input_is_told_and_exits_with_2(capsys, arguments, told):
    assert run(arguments) == 2
    assert told in capsys.readouterr().err


def test_all_wrong_addresses_are_named_at_once(capsys):
    run(["status", "nowhere", "1.2.3.4:x"])
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_a_file_that_cannot_be_written_is_told(fleet, capsys):
    assert run(["burn", fleet.addresses[0], "--html", "/no/folder/x.html"]) == 2
    assert "/no/folder/x.html" in capsys.readouterr().err


def test_check_tells_settings_from_documents(capsys, tmp_path):
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
    with pytest.raises(SystemExit) as ended:
        run([command, "--help"])
    text = capsys.readouterr().out
    assert ended.value.code == 0
    assert f"sassafraswinch {command}" in text and "Exit codes: 0" in text


def test_names_from_nodes_cannot_drive_the_terminal(fleet, capsys):
    """A host's name holds an escape sequence that clears the screen.

    Printed as it is, it would hide the lines before it from the operator.
    """
    fleet.one.change(host="a\x1b[2J\nb")
    run(["status", fleet.addresses[0]])
    text = capsys.readouterr().out
    assert "\x1b" not in text and "a?[2J?b" in text


def test_numbers_stand_to_the_right_and_names_to_the_left():
    rows = [("long-name", 5, "-"), ("x", 1000, "12s")]
    assert format_table(("host", "calls", "age"), rows) == [
        "host       calls  age",
        "long-name      5    -",
        "x           1000  12s",
    ]
