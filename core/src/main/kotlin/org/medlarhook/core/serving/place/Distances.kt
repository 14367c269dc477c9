package org.medlarhook.core.serving.place

import kotlinx.collections.immutable.ImmutableMap

/** Network distances from this process's data centre. */
public class Distances(
    private val ownDataCentre: String,
    private val regionByDataCentre: ImmutableMap<String, String>,
) {
    /** The time there and back to [dataCentre]. */
    public fun roundTripMs(dataCentre: String): Double =
        when {
            dataCentre == ownDataCentre -> SAME_DATA_CENTRE_MS
            regionByDataCentre[dataCentre] == regionByDataCentre[ownDataCentre] -> SAME_REGION_MS
            else -> OTHER_REGION_MS
        }

    /** How much longer a copy of cached prompt parts takes than within one data centre. */
    public fun copyFactor(from: String, to: String): Double =
        when {
            from == to -> 1.0
            regionByDataCentre[from] == regionByDataCentre[to] -> COPY_SAME_REGION
            else -> COPY_OTHER_REGION
        }

    private companion object {
        const val COPY_SAME_REGION = 2.0
        const val COPY_OTHER_REGION = 10.0

        const val SAME_DATA_CENTRE_MS = 0.5

        /** Data centres of a region are about a millisecond apart. */
        const val SAME_REGION_MS = 2.5

        /** Regions are about twenty milliseconds apart. */
        const val OTHER_REGION_MS = 41.0
    }
}
