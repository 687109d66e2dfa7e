"""Finds the route of a request by its host and path."""

from __future__ import annotations

from functools import lru_cache

from .model import Configuration, Route

MAX_CACHED_HOSTS = 512
"""Normalised names; clients may send any, of up to the size of a header each."""


@lru_cache(MAX_CACHED_HOSTS)
def normalised_host(host: str) -> str:
    """Returns a `Host` value for comparison: lower case, without a port."""
    name = host.strip().lower()
    if name.startswith("["):  # an IPv6 address in brackets holds colons of its own
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]


class RouteTable:
    """The routes of one configuration.

    A look-up costs one dictionary access for each slash of the path, at most as many as the host's longest
    prefix has.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Indexes the routes by host and prefix."""
        self._routes: dict[str, dict[str, Route]] = {}
        self._max_depths: dict[str, int] = {}  # by host: slashes in its longest prefix
        for route in configuration.routes:
            host = normalised_host(route.hostname)
            self._routes.setdefault(host, {})[route.path_start] = route
            self._max_depths[host] = max(self._max_depths.get(host, 0), route.path_start.count("/"))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest `path_start` that begins the path; its query is ignored."""
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
