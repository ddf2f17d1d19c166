"""Stand-ins of the second review: quote engines, notice board, callers, and the softswitch as a process."""
