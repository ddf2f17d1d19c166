"""The operator file: one Starlark file, evaluated without I/O and checked against typed tables."""
