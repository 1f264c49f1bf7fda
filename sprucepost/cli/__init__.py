"""The command line. Each command imports what it needs when it runs, to start quickly and use little memory."""
