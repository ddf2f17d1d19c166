"""Settings object of the tests, as the configuration and the simulator contain it."""

INFO = {
    "family": "trunks",
    "fleet_size": 2,
    "strange": {"key": 1},
    "family_info": {
        "network_form": "groups",
        "own_number": -1,
        "clear_wait": 300.0,
        "repeat": 400.0,
        "holding": [8000.0],
        "skilled_pools": [[0, 1]],
    },
    "lanes": [{"name": "x", "aim": 1500.0, "credit": 1.0, "late_value": 0.25, "hard_limit": 9000.0}],
    "limits": {
        "may_cancel": True,
        "probes": True,
        "send_cap": 3,
        "retry_after": True,
        "max_retry_after": 2000.0,
    },
    "rules": {"cold": 15000.0, "cold_from": 0.28, "overload_factor": 2.5, "overload_for": 1000.0},
    "stats": {"fields": ["spare", "total"], "how": "answers"},
    "tick": 5.0,
}
