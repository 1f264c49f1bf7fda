"""What every run of the tests heeds."""

pytest_plugins = ["tests.known_red"]
