"""The traffic record of a softswitch, its file, and its aggregation into streams."""
