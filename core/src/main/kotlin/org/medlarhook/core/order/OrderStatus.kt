package org.medlarhook.core.order

import kotlinx.serialization.Serializable

/** How far an order has come. */
@Serializable
public enum class OrderStatus {
    /** Written, and perhaps carried out. */
    ISSUED,

    /** The engine has done it. */
    APPLIED,

    /** The engine refused it, or the sidecar that it was meant for is gone. */
    FAILED,
}
