"""Environment variables: current names take precedence; deprecated names work and are logged once."""

from support.harness import Stage

from softswitch import environment


def test_the_current_name_takes_precedence_even_if_it_is_empty(monkeypatch):
    monkeypatch.setenv("WILLOWHITCH_LOG", "DEBUG")
    assert environment.variable(environment.LOG_LEVEL, "INFO") == "DEBUG"
    monkeypatch.setenv("SOFTSWITCH_LOG", "")
    assert environment.variable(environment.LOG_LEVEL, "INFO") == "INFO"
    monkeypatch.setenv("SOFTSWITCH_LOG", "ERROR")
    assert environment.variable(environment.LOG_LEVEL, "INFO") == "ERROR"


def test_a_copy_without_a_variable_lacks_both_of_its_names():
    full = {"SOFTSWITCH_LOG": "1", "WILLOWHITCH_LOG": "2", "PATH": "/bin"}
    assert environment.without(full, environment.LOG_LEVEL) == {"PATH": "/bin"}


def test_a_deprecated_name_is_read_and_logged_in_one_line():
    with Stage(engines=1, env={"WILLOWHITCH_LOG": "INFO"}) as s:
        log = s.log_text()
    assert log.count("environment: WILLOWHITCH_LOG deprecated, use SOFTSWITCH_*") == 1, log
