package org.medlarhook.core.lease

import kotlinx.serialization.Serializable

/**
 * The content of a lease row.
 *
 * @property holder identifies one start of one process.
 * @property nonce differs with each write, so that a writer recognises its own write after a lost answer.
 * @property renewals number of renewals by this holder.
 * @property released true once the holder has released the lease.
 */
@Serializable
public data class LeaseRow(
    val holder: String,
    val epoch: Long,
    val nonce: String,
    val renewals: Long = 0,
    val released: Boolean = false,
)
