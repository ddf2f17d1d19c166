# Settings for installations of your own. Named in SOFTSWITCH_OPERATOR; not read otherwise, as on the platform.
# `softswitch config check FILE` tells whether a file can be served. Names of your own begin with `_`.

# record = {
#     "file": "traffic.whtr",    # the traffic record, beside this file (docs/trunks.md)
#     "interval_s": 60,          # one entry each
#     "slot_s": 1,               # arrivals are counted by so fine a slot
#     "most_mb": 64,             # then it is kept as traffic.whtr.1 and begun anew
# }

# calls = {                      # the lives of the last calls: GET /v1/calls/ID at the management address
#     "keep": 4096,              # of so many calls
#     "file": "lives-{pid}.jsonl",   # and in a file, a line a call; left out: no file
#     "every_s": 5,              # what is new is appended so often, and at exit
#     "most_mb": 64,             # then nothing more is written
# }

# fleet = {                      # one picture of who is there, kept by the softswitches (docs/fleet-view.md)
#     "name": "tana",            # members of another fleet are refused
#     "address": "10.1.0.4:7946",    # where the others reach this one, by UDP and TCP
#     "site": "east",
#     "seeds": ["10.1.0.4:7946", "10.2.0.4:7946"],
#     "folder": "state",         # a snapshot of who was there, beside this file
# }

# _all = ["10.1.0.4:7946", "10.2.0.4:7946", "10.3.0.4:7946"]
# budgets = [                    # what all may spend together, divided among them (docs/budgets.md)
#     {"name": "quotes", "whole": 120, "floor": 2, "class": "save-quote"},   # set-ups a second
#     {"name": "again", "what": "repeats", "whole": 20, "over_s": 5},
#     {"name": "cold", "what": "cold", "whole": 1, "floor": 0.02},           # shares of what a cold engine bears
# ]
# allocation = {"members": _all, "voters": _all}

# logs = {"form": "json"}        # one JSON object a line, with bound fields; "plain" is the default
