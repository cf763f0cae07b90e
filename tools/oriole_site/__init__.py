"""Starts and drives a site of real processes on loopback, for the demo, tests and measurements."""
