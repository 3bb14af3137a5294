"""Validation of settings and configurations, error responses and key hashes."""

import json
from pathlib import Path

import pytest

from scalebend.commands import check
from scalebend.commands.errors import build_page
from scalebend.edges.settings_file import parse_configuration, read_settings
from scalebend.exceptions import ERROR_RESPONSES, DocumentError, ErrorKind
from scalebend.utils.keys import hash_key, is_known_key

EXAMPLES = Path(__file__).parents[2] / "examples"


def write_settings(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return path


def read_example():
    return json.loads((EXAMPLES / "cluster" / "pelotas-1.json").read_text())


@pytest.mark.parametrize("path", sorted((EXAMPLES / "cluster").glob("*-[0-9].json")))
def test_example_settings_are_valid(path):
    assert read_settings(path).instance == path.stem


@pytest.mark.parametrize("text", ["", "{", "[]", '{"instance": 1}', "\x00"])
def test_malformed_settings_are_rejected(tmp_path, text):
    with pytest.raises(DocumentError) as caught:
        read_settings(write_settings(tmp_path, text))
    assert caught.value.faults


def test_each_fault_is_reported_with_its_path(tmp_path):
    document = read_example()
    document["listen"]["callers"] = 5
    document["colour"] = "red"
    document["limits"] = {"body_bytes": "many"}
    with pytest.raises(DocumentError) as caught:
        read_settings(write_settings(tmp_path, document))
    paths = {fault.path for fault in caught.value.faults}
    assert {"$", "$.listen.callers", "$.limits.body_bytes"} <= paths


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"data_folder": None}, "$.data_folder"),
        ({"policy": "best"}, "$.policy"),
        ({"limits": {"drain_time": -1}}, "$.limits.drain_time"),
        ({"operator_key_hashes": ["secret"]}, "$.operator_key_hashes[0]"),
        ({"instance": ""}, "$.instance"),
        (
            {"listen": {"callers": "here", "peers": "::1", "gossip": "1.2.3.4:99999"}},
            "$.listen.callers",
        ),
    ],
)
def test_constraints_beyond_the_schema_are_checked(tmp_path, change, path):
    with pytest.raises(DocumentError) as caught:
        read_settings(write_settings(tmp_path, {**read_example(), **change}))
    assert path in {fault.path for fault in caught.value.faults}


@pytest.mark.parametrize(
    ("document", "path"),
    [
        ({"customers": [{"customer": "a", "key_hashes": [], "weight": 0}]}, "weight"),
        ({"customers": [{"customer": "a", "key_hashes": []}] * 2}, "customers[1]"),
        ({"models": [{"model": "m", "replicas": -1}]}, "replicas"),
        ({"weight_store_loads_per_minute": 0}, "weight_store"),
    ],
)
def test_configuration_faults_are_reported_with_their_path(document, path):
    with pytest.raises(DocumentError) as caught:
        parse_configuration(json.dumps(document).encode())
    assert path in str(caught.value)


def test_every_error_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_error_page_is_up_to_date():
    page = EXAMPLES.parent / "docs" / "errors.md"
    assert page.read_text() == build_page()


def test_check_command_prints_faults_and_schemas(tmp_path, capsys):
    path = write_settings(tmp_path, {"instance": 3})
    assert check.run(file=path, schema="", as_json=True) == 2
    faults = json.loads(capsys.readouterr().out)["faults"]
    assert "$.instance" in {fault["path"] for fault in faults}
    assert check.run(file=None, schema="configuration", as_json=False) == 0
    assert "Customer" in json.loads(capsys.readouterr().out)["$defs"]


def test_keys_match_by_their_hash():
    hashes = [hash_key("old"), hash_key("new")]
    assert is_known_key("old", hashes) and is_known_key("new", hashes)
    assert not is_known_key("", hashes) and not is_known_key(hashes[0], hashes)
