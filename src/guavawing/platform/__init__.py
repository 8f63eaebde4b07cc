"""Names, formats and calls of the platform that guavawing runs on.

Only these modules use the names of the platform's interfaces. They only
convert between them and the classes of `guavawing.traffic.model`.
"""
