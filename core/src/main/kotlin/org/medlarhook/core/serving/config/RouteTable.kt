package org.medlarhook.core.serving.config

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** Finds the route of a request: of the routes of its host, the one with the longest prefix of the path. */
public class RouteTable(
    public val routes: List<Route>,
) {
    private val byHost: ImmutableMap<String, ImmutableMap<String, Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.prefix }.toImmutableMap() }
            .toImmutableMap()

    /** Returns the route for [host], which may include a port, and [path] without its query. */
    public fun find(host: String, path: String): Route? {
        val byPrefix = byHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            byPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
