"""The platform's store: its object API and the objects that proxies keep."""
