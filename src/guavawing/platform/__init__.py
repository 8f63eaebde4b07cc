"""Names, formats and calls of the platform that guavawing runs on.

No other code uses the names of the platform's interfaces. These modules only
convert between them and the classes of `guavawing.traffic.model`.
"""
