"""Generate load and report on it."""
