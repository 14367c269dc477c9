package org.medlarhook.core.serving.place

import kotlinx.collections.immutable.ImmutableMap

/** Network round-trip times from this process's data centre, and relative copy times between data centres. */
public class Distances(
    private val ownDataCentre: String,
    private val regionByDataCentre: ImmutableMap<String, String>,
) {
    /** The round-trip time to [dataCentre]. */
    public fun roundTripMs(dataCentre: String): Double =
        when {
            dataCentre == ownDataCentre -> SAME_DATA_CENTRE_ROUND_TRIP_MS
            regionByDataCentre[dataCentre] == regionByDataCentre[ownDataCentre] -> SAME_REGION_ROUND_TRIP_MS
            else -> OTHER_REGION_ROUND_TRIP_MS
        }

    /** The time of a KV cache copy, divided by its time within one data centre. */
    public fun copyFactor(from: String, to: String): Double =
        when {
            from == to -> 1.0
            regionByDataCentre[from] == regionByDataCentre[to] -> SAME_REGION_COPY_FACTOR
            else -> OTHER_REGION_COPY_FACTOR
        }

    private companion object {
        const val SAME_REGION_COPY_FACTOR = 2.0
        const val OTHER_REGION_COPY_FACTOR = 10.0

        const val SAME_DATA_CENTRE_ROUND_TRIP_MS = 0.5

        /** Data centres of a region are about a millisecond apart, one way. */
        const val SAME_REGION_ROUND_TRIP_MS = 2.5

        /** Regions are about twenty milliseconds apart, one way. */
        const val OTHER_REGION_ROUND_TRIP_MS = 41.0
    }
}
