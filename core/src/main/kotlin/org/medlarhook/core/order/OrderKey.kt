package org.medlarhook.core.order

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** Names an upstream within the tables. */
public data class OrderKey(
    val dataCentre: String,
    val upstreamId: String,
) {
    /** The row of the newest order. */
    public val orderRow: RowKey get() = RowKey(TableNames.ORDER, "$dataCentre/$upstreamId")

    /** The row of the sidecar's registration. */
    public val registrationRow: RowKey get() = RowKey(TableNames.UPSTREAM, "$dataCentre/$upstreamId")
}
