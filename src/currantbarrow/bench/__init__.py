"""Measure decisions, slopes and costs."""
