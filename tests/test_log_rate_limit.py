"""The bound on log lines."""

from softswitch.log_rate_limit import INTERVAL, MAX_LINES, LogRateLimit


def test_each_place_writes_so_many_lines_and_then_tells_how_many_were_left_out():
    # guards against a caller that fills the log with one line a message
    now = [0.0]
    quiet = LogRateLimit(lambda: now[0])

    def said(line, n):
        records = [{"name": "a", "line": line, "message": f"caller {k}"} for k in range(n)]
        return [r["message"] for r in records if quiet(r)]

    assert said(1, 1000) == [f"caller {k}" for k in range(MAX_LINES)]
    assert said(2, 1) == ["caller 0"]  # another place is not touched
    now[0] = INTERVAL
    assert said(1, 2) == ["caller 0 (990 more like it were left out)", "caller 1"]
    assert len(quiet._statements) == 2
