"""Files that retain state of the process over a restart. I/O errors are raised to the caller."""
