package org.medlarhook.core.lease

import kotlinx.serialization.Serializable

/** The content of an epoch row, which is written only when the lease passes to another holder. */
@Serializable
public data class EpochRow(
    val epoch: Long,
    val holder: String,
)
