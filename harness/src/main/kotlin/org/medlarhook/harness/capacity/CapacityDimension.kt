package org.medlarhook.harness.capacity

import org.medlarhook.harness.FleetPlan
import org.medlarhook.harness.fleetPlan

/** The dimension in which the fleet grows from one measurement to the next, with its sizes and the unit of a size. */
internal enum class CapacityDimension(
    val sizes: List<Int>,
    val unit: String,
) {
    ENTRIES(listOf(2, 4, 8, 12), "entry") {
        override fun plan(size: Int) = fleet(entries = size, upstreams = BASE_UPSTREAMS)
    },
    SIDECARS(listOf(4, 8, 16, 24), "sidecar") {
        override fun plan(size: Int) = fleet(entries = BASE_ENTRIES, upstreams = size)
    },
    WORKSPACES(listOf(500, 2_000, 5_000, 9_300), "workspace with a key") {
        override fun plan(size: Int) = fleet(BASE_ENTRIES, BASE_UPSTREAMS)

        override fun workspaces(size: Int) = size
    },
    CHANGES(listOf(0, 1, 2, 4), "configuration change per second") {
        override fun plan(size: Int) = fleet(BASE_ENTRIES, BASE_UPSTREAMS)

        override fun changesPerS(size: Int) = size
    },
    ;

    /** Returns the fleet for [size]. */
    abstract fun plan(size: Int): FleetPlan

    /** Returns the number of workspaces for [size]; each has a key. */
    open fun workspaces(size: Int): Int = BASE_WORKSPACES

    /** Returns the configuration changes per second for [size]. */
    open fun changesPerS(size: Int): Int = 0

    protected fun fleet(entries: Int, upstreams: Int): FleetPlan =
        fleetPlan {
            dataCentre("d1", "r1") {
                entries(entries)
                services(SERVICE, upstreams)
            }
        }

    internal companion object {
        const val SERVICE = "bookings"
        const val BASE_ENTRIES = 3
        const val BASE_UPSTREAMS = 4
        const val BASE_WORKSPACES = 20
    }
}
