"""The operator file: a Starlark file that is evaluated without I/O and checked against typed tables."""
