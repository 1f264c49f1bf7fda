"""Open-loop load generator for running placers.

``plan``, ``arrivals`` and ``recorded`` say which tasks are due when; ``run`` submits them; ``report`` shows the
results.
"""
