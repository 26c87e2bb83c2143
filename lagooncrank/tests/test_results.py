import pathlib

import pytest

from lagooncrank import results

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def test_docs_table_lists_every_code() -> None:
    page = (DOCS / "RESULT_CODES.md").read_text()
    assert results.docs_table() in page


@pytest.mark.parametrize("code", list(results.ResultCode))
def test_code_has_http_status_and_meaning(code: results.ResultCode) -> None:
    assert code.http_status == 499 or 200 <= code.http_status < 600
    assert code.meaning.endswith(".")


def test_error_text_names_code_and_reason() -> None:
    refusal = results.Refusal(results.ResultCode.KEY_REUSED, "key k1")
    error = results.LagooncrankError(refusal)
    assert str(error) == "KEY_REUSED (401): key k1"
    assert error.refusal.ran is results.ExecutionStatus.NOT_RUN
