"""Generated from ``proto/`` by ``make proto``; checked fresh by the tests."""
