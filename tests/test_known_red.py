"""The entries of KNOWN-RED.txt name existing tests and are complete."""

from pathlib import Path

from tests.conftest import known_red

ROOT = Path(__file__).parent.parent


def test_each_entry_names_an_existing_test_with_command_finding_and_issue() -> None:
    for test, entry in known_red().items():
        path, _, name = test.partition("::")
        function = name.partition("[")[0].rpartition("::")[2]
        assert f"def {function}(" in (ROOT / path).read_text(), test
        assert entry.count("|") == 2 and entry.rpartition("|")[2].strip().isdigit(), test
