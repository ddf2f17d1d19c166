"""The limit on the rate of log lines."""

from softswitch.log_rate_limit import INTERVAL, MAX_LINES, LogRateLimit


def test_each_place_logs_up_to_the_limit_and_then_reports_the_number_left_out():
    # Guards against a caller that fills the log with one line per message.
    now = [0.0]
    rate_limit = LogRateLimit(lambda: now[0])

    def logged(line, n):
        records = [{"name": "a", "line": line, "message": f"caller {k}"} for k in range(n)]
        return [r["message"] for r in records if rate_limit(r)]

    assert logged(1, 1000) == [f"caller {k}" for k in range(MAX_LINES)]
    assert logged(2, 1) == ["caller 0"]  # another place has its own limit
    now[0] = INTERVAL
    assert logged(1, 2) == ["caller 0 (990 more like it were left out)", "caller 1"]
    assert len(rate_limit._statements) == 2
