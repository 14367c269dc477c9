package org.medlarhook.core.order

import kotlinx.serialization.Serializable

/** The status of an order. */
@Serializable
public enum class OrderStatus {
    /** The order is written; the engine may have carried it out. */
    ISSUED,

    /** The engine has carried out the order. */
    APPLIED,

    /** The engine has refused the order, or the sidecar that it was for has been restarted. */
    FAILED,
}
