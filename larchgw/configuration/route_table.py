"""Finds the route that matches the host and path of a request."""

from __future__ import annotations

from functools import lru_cache

from .model import Configuration, Route

MAX_CACHED_HOSTS = 512
"""Size of the cache of normalised names: clients may send any number of names, each as long as a header."""


@lru_cache(MAX_CACHED_HOSTS)
def normalised_host(host: str) -> str:
    """Normalises a `Host` value for comparison: lower case, without the port."""
    name = host.strip().lower()
    if name.startswith("["):  # a bracketed IPv6 address contains colons
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]


class RouteTable:
    """Index of the routes of one configuration.

    A look-up costs one dictionary access per slash in the path, limited by the number of slashes in the
    longest prefix of the host.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Indexes the routes by host and prefix."""
        self._routes: dict[str, dict[str, Route]] = {}
        self._max_depths: dict[str, int] = {}  # host -> number of slashes in its longest prefix
        for route in configuration.routes:
            host = normalised_host(route.hostname)
            self._routes.setdefault(host, {})[route.path_start] = route
            self._max_depths[host] = max(self._max_depths.get(host, 0), route.path_start.count("/"))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest `path_start` that is a prefix of the path without its query."""
        name = normalised_host(host)
        routes = self._routes.get(name)
        if routes is None:
            return None
        path = path.partition("?")[0]
        found = None
        end = -1
        for _ in range(self._max_depths[name]):
            end = path.find("/", end + 1)
            if end < 0:
                break
            found = routes.get(path[: end + 1], found)
        return found
