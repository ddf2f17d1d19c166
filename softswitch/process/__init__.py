"""One softswitch process: wiring, ticks, listeners, reload and shutdown."""
