"""Reading and checking operators' files."""

import hashlib

import pytest

from merlinnotch._config import VersionState, load_catalogue
from merlinnotch._errors import ConfigurationInvalid

GOOD = """
[teams.desk]
key_sha256 = "{digest}"
allow = ["swift"]

[models.swift]
pool = "language"
cost_per_1k_tokens = 0.2
expected_quality = 0.8

[models.swift.versions.v1]
state = "serving"

[kinds.match]
quality_target = 0.7
models = ["swift"]
""".format(digest=hashlib.sha256(b"key").hexdigest())


@pytest.fixture
def write(tmp_path):
    def write(text, name="all.toml"):
        (tmp_path / name).write_text(text)
        return tmp_path

    return write


def faults_of(folder):
    with pytest.raises(ConfigurationInvalid) as caught:
        load_catalogue(folder)
    return caught.value.faults


@pytest.mark.parametrize("name", ["authority", "hearth-calls"])
def test_examples_check(name):
    load_catalogue(f"examples/{name}")


def test_good_files_make_a_catalogue(write):
    _, catalogue = load_catalogue(write(GOOD))
    assert catalogue.find_team("key").name == "desk"
    assert catalogue.find_team("other") is None
    assert catalogue.get_version("swift@v1").state is VersionState.SERVING
    assert catalogue.get_version("swift@v9") is None
    assert catalogue.get_version("none@v1") is None


def test_versions_in_motion_need_fresh_proof_by_default(write):
    text = GOOD + '[models.swift.versions.v2]\nstate = "rolling-out"\n'
    _, catalogue = load_catalogue(write(text))
    assert catalogue.get_version("swift@v1").serve_when_stale
    assert not catalogue.get_version("swift@v2").serve_when_stale


def test_several_faults_are_named_at_once(write):
    text = GOOD.replace('state = "serving"', 'state = "on"')
    text = text.replace("quality_target = 0.7", "quality_target = 7\nspeed = 1")
    faults = faults_of(write(text))
    places = {(fault.file, fault.table, fault.key) for fault in faults}
    assert places == {
        ("all.toml", "models.swift.versions.v1", "state"),
        ("all.toml", "kinds.match", "quality_target"),
        ("all.toml", "kinds.match", "speed"),
    }
    assert "'on'" in next(str(fault) for fault in faults if fault.key == "state")


def test_unknown_references_are_faults(write):
    faults = faults_of(write(GOOD.replace('models = ["swift"]', 'models = ["slow"]')))
    assert [fault.found for fault in faults] == ["'slow'"]


def test_same_entry_in_two_files_is_a_fault(write):
    write(GOOD)
    folder = write("[kinds.match]\nquality_target = 0.1\nmodels = ['swift']", "b.toml")
    assert faults_of(folder)[0].allowed == "already declared in all.toml"


def test_bad_toml_and_empty_folder_are_faults(write, tmp_path):
    assert "no *.toml file" in str(faults_of(tmp_path)[0])
    assert "valid TOML" in str(faults_of(write("[teams"))[0])


def test_shared_team_keys_are_a_fault(write):
    table = GOOD[: GOOD.index("[models")].replace("desk", "other")
    write(table, "b.toml")
    assert "unique" in str(faults_of(write(GOOD))[0])
