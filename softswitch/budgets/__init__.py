"""Budgets of the fleet: division into slots that members hold on lease. Pure: no I/O, no clock."""
