"""Plugins that every test run loads."""

pytest_plugins = ["tests.known_red"]
