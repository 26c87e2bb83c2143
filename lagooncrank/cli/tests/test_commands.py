import asyncio
from collections.abc import Iterator
import contextlib
import io
import json
import pathlib
import threading

from aiohttp import test_utils
import pytest
import yaml

from lagooncrank import cli
from lagooncrank import questionnaire
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.cli import _exit_codes
from lagooncrank.core import state
from lagooncrank.questionnaire.tests import test_interview
from lagooncrank.server.http.tests import operator_node

Exit = _exit_codes.ExitCode
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class Operator:
    """Runs commands against one entry, as a shell would."""

    def __init__(
        self,
        address: str,
        folder: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        self.address = address
        self.folder = folder
        self.capsys = capsys
        self.monkeypatch = monkeypatch
        self.key_file = folder / "key"
        self.key_file.write_text(operator_node.OPERATOR_KEY + "\n")
        self.set_environment(LAGOONCRANK_ENTRIES=address)
        self.set_environment(LAGOONCRANK_KEY_FILE=str(self.key_file))

    def set_environment(self, **variables: str) -> None:
        for name, value in variables.items():
            self.monkeypatch.setenv(name, value)

    def write_declarations(self, share: int = 3) -> str:
        path = self.folder / f"share-{share}.yaml"
        path.write_text(yaml.safe_dump(operator_node.declarations(share)))
        return str(path)

    def run(self, *arguments: str) -> tuple[int, str, str]:
        self.monkeypatch.setattr("sys.argv", ["lagooncrank", *arguments])
        with pytest.raises(SystemExit) as caught:
            cli.main()
        captured = self.capsys.readouterr()
        code = caught.value.code
        return int(code or 0), captured.out, captured.err


@contextlib.contextmanager
def serving(node: operator_node.OperatorNode) -> Iterator[str]:
    """Serves a node on an event loop in a thread.

    The commands run an event loop of their own.
    """
    loop = asyncio.new_event_loop()
    server = test_utils.TestServer(node.app())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(server.start_server(), loop).result()
    try:
        yield f"127.0.0.1:{server.port}"
    finally:
        asyncio.run_coroutine_threadsafe(server.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


@pytest.fixture
def node() -> operator_node.OperatorNode:
    return operator_node.OperatorNode()


@pytest.fixture
def operator(
    node: operator_node.OperatorNode,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Operator]:
    with serving(node) as address:
        yield Operator(address, tmp_path, capsys, monkeypatch)


def test_repeated_apply_creates_one_revision(operator: Operator) -> None:
    path = operator.write_declarations()
    for _ in range(2):
        code, out, _ = operator.run("apply", path, "-o", "json")
        assert (code, json.loads(out)) == (Exit.OK, {"revision": 1})
    _, out, _ = operator.run("history", "-o", "json")
    assert len(json.loads(out)) == 1


def test_apply_on_stale_base_revision_conflicts(operator: Operator) -> None:
    operator.run("apply", operator.write_declarations(3))
    path = operator.write_declarations(4)
    code, _, err = operator.run("apply", path, "--base-revision", "0")
    assert code == Exit.CONFLICT
    assert "REVISION_CONFLICT (500)" in err
    assert "not the current revision 1" in err


def test_apply_wait_lists_lagging_nodes(
    operator: Operator, node: operator_node.OperatorNode
) -> None:
    path = operator.write_declarations()
    code, _, err = operator.run("apply", path, "--wait", "--timeout-s", "0")
    assert code == Exit.NOT_IN_FORCE
    assert "NOT_IN_FORCE_YET (504)" in err
    assert "not in force at n2 (has revision 0, last seen" in err
    record = node.shared.view.configuration
    assert record is not None
    command = state.ApplyDeclarations("c", 0, record.declarations, "a", 0)
    node.peer_shared.view.apply(1, command)
    code, out, err = operator.run("apply", path, "--wait", "-o", "json")
    assert (code, json.loads(out)["in_force"]) == (Exit.OK, ["n1", "n2"])
    assert "revision 1 already declares this" in err


def test_invalid_declarations_are_not_sent(
    operator: Operator, node: operator_node.OperatorNode
) -> None:
    code, _, err = operator.run("apply", operator.write_declarations(0))
    assert code == Exit.INVALID_FILE
    assert "client_accounts[0].share: is 0, must be above 0" in err
    assert node.shared.view.applied_index == 0


def test_diff_names_each_changed_field(operator: Operator) -> None:
    operator.run("apply", operator.write_declarations(3))
    assert operator.run("diff", operator.write_declarations(3))[0] == Exit.OK
    code, out, _ = operator.run(
        "diff", operator.write_declarations(4), "-o", "json"
    )
    assert code == Exit.DIFFERS
    assert json.loads(out) == [
        {"field": "client_accounts[acme].share", "accepted": 3, "file": 4}
    ]


def test_drain_and_quarantine_commands(
    operator: Operator, node: operator_node.OperatorNode
) -> None:
    node.shared.view.apply(1, state.PutReplica(operator_node.replica(), -1))
    code, out, err = operator.run("drain", "i1")
    assert (code, "r1" in out) == (Exit.OK, True)
    assert "r1 still holds i1; run 'lagooncrank drain' until" in err
    assert "i1" in operator.run("drain")[1]
    assert operator.run("drain", "i1", "--end")[0] == Exit.OK
    assert operator.run("drain", "i1", "--end")[0] == Exit.REFUSED
    index = node.shared.view.applied_index + 1
    node.shared.view.apply(index, state.RecordContentCrash(b"\xab", "r1", 0, 9))
    assert "ab" in operator.run("quarantine")[1]
    assert operator.run("quarantine", "ab")[0] == Exit.OK
    assert "(none)" in operator.run("quarantine")[1]


@pytest.mark.parametrize(
    "command", ["status", "accounts", "replicas", "backends", "history"]
)
@pytest.mark.parametrize("output", ["table", "json"])
def test_inspection_commands(
    operator: Operator, command: str, output: str
) -> None:
    operator.run("apply", operator.write_declarations())
    code, out, _ = operator.run(command, "-o", output)
    assert code == Exit.OK
    if output == "json":
        assert json.loads(out) is not None
    else:
        assert out.strip()


def test_unreachable_entry_is_skipped(operator: Operator) -> None:
    with test_utils.get_unused_port_socket("127.0.0.1") as bound:
        dead = f"127.0.0.1:{bound.getsockname()[1]}"
        code, _, err = operator.run("status", "--entry", dead)
        assert (code, dead in err) == (Exit.UNREACHABLE, True)
        live = operator.address
        code, _, _ = operator.run("status", "-e", dead, "-e", live)
        assert code == Exit.OK


def test_refusals_set_the_exit_code(
    operator: Operator, node: operator_node.OperatorNode
) -> None:
    node.shared.is_isolated = True
    path = operator.write_declarations()
    assert operator.run("apply", path)[0] == Exit.UNREACHABLE
    operator.key_file.write_text("wrong")
    assert operator.run("status")[0] == Exit.UNAUTHENTICATED
    operator.key_file.unlink()
    assert operator.run("status")[0] == Exit.UNAUTHENTICATED
    assert operator.run("stauts")[0] == Exit.USAGE


def test_exit_codes_are_documented() -> None:
    page = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
    for exit_code in Exit:
        line = f"| {exit_code.value} | {exit_code.name} | {exit_code.meaning} |"
        assert line in page.read_text()


def test_questionnaire_writes_valid_files(
    operator: Operator, tmp_path: pathlib.Path
) -> None:
    answers = str(EXAMPLES / "nilegrid.yaml")
    out = tmp_path / "made"
    code, _, err = operator.run(
        "questionnaire", "--answers", answers, "--out", str(out)
    )
    assert (code, err.count("wrote")) == (Exit.OK, 7)
    assert operator.run("validate", str(out / "declarations.yaml"))[0] == 0


def test_questionnaire_rejects_conflicting_answers(
    operator: Operator, tmp_path: pathlib.Path
) -> None:
    text = (EXAMPLES / "siam.yaml").read_text()
    path = tmp_path / "answers.yaml"
    path.write_text(text.replace("replicas: 12", "replicas: 13"))
    code, _, err = operator.run("questionnaire", "--answers", str(path))
    assert code == Exit.INVALID_FILE
    assert f"{path}: models[0].replicas, fabric_domains" in err
    assert "Fix: ask for 12 replicas" in err
    assert not (tmp_path / "declarations.yaml").exists()


def test_blank_form_is_printed(operator: Operator) -> None:
    code, out, _ = operator.run("questionnaire", "--blank")
    assert code == Exit.OK
    assert "Which site does it fail with?" in out


def test_shell_completion_offers_commands(operator: Operator) -> None:
    operator.set_environment(
        _LAGOONCRANK_COMPLETE="complete_bash",
        COMP_WORDS="lagooncrank qu",
        COMP_CWORD="1",
    )
    assert operator.run()[1].split() == ["quarantine", "questionnaire"]


def test_interactive_answers_can_be_reused(
    operator: Operator, tmp_path: pathlib.Path
) -> None:
    path = EXAMPLES / "siam.yaml"
    code = results.ResultCode.INVALID_DECLARATIONS
    answers = settings.load(path, questionnaire.Answers, code)
    lines = "\n".join(test_interview.input_lines(answers)) + "\n"
    operator.monkeypatch.setattr("sys.stdin", io.StringIO(lines))
    typed, again = tmp_path / "typed", tmp_path / "again"
    assert operator.run("questionnaire", "--out", str(typed))[0] == Exit.OK
    options = ("--answers", str(typed / "answers.yaml"), "--out", str(again))
    assert operator.run("questionnaire", *options)[0] == Exit.OK
    files = list(again.iterdir())
    assert len(files) == len(answers.entry_instances) + 1
    for generated in files:
        assert generated.read_bytes() == (typed / generated.name).read_bytes()


def test_incomplete_input_writes_no_file(
    operator: Operator, tmp_path: pathlib.Path
) -> None:
    operator.monkeypatch.setattr("sys.stdin", io.StringIO("nilegrid\n"))
    out = tmp_path / "made"
    code, _, err = operator.run("questionnaire", "--out", str(out))
    assert code == Exit.INVALID_FILE
    assert "the input ended before every question was answered" in err
    assert not out.exists()
