"""Durable records of the program's own state. A disk that refuses is an answer, not a fault."""
