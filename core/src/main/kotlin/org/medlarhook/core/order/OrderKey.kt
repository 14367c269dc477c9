package org.medlarhook.core.order

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** Identifies an upstream in the tables. */
public data class OrderKey(
    val dataCentre: String,
    val upstreamId: String,
) {
    /** The key of the row with the newest order. */
    public val orderRow: RowKey get() = RowKey(TableNames.ORDER, "$dataCentre/$upstreamId")

    /** The key of the row with the sidecar's registration. */
    public val registrationRow: RowKey get() = RowKey(TableNames.UPSTREAM, "$dataCentre/$upstreamId")
}
