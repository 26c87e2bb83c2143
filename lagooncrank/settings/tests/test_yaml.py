import pytest

from lagooncrank import settings


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("a: [", "not YAML", id="broken_yaml"),
        pytest.param(
            "client_accounts: [{name: a, key_sha256s: [], share: x}]",
            r"d.yaml: client_accounts\[0\].share: Expected `int`, got `str`",
            id="wrong_type",
        ),
    ],
)
def test_invalid_declarations_name_the_field(text: str, message: str) -> None:
    with pytest.raises(settings.SettingsError, match=message) as caught:
        settings.parse_declarations(text, "d.yaml")
    assert caught.value.source == "d.yaml"


def test_valid_declarations() -> None:
    declarations = settings.parse_declarations(
        "client_accounts: [{name: a, key_sha256s: [], share: 3}]", "d.yaml"
    )
    assert declarations.client_accounts[0].share == 3
