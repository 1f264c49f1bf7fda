"""Load on running placers.

What to ask: ``plan``, ``arrivals``, ``recorded``; asking it: ``run``; what came back: ``report``.
"""
