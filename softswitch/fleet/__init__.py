"""Which softswitches there are: members, failure detection, spreading, agreement. Pure: no I/O, no clock."""
