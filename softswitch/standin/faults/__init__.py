"""What goes wrong between processes and under them: schedules, and what plays them."""
