"""Names, formats and calls of the platform that guavawing runs on.

The only code that knows the platform's words. It turns them into the classes
of `guavawing.traffic.model` and decides nothing.
"""
