package org.medlarhook.core.lease

import kotlinx.serialization.Serializable

/**
 * The content of a lease row.
 *
 * @property holder names one start of one process.
 * @property nonce differs with each write, so that a writer knows its own after a lost answer.
 * @property released true once the holder has handed the lease back.
 */
@Serializable
public data class LeaseRow(
    val holder: String,
    val epoch: Long,
    val nonce: String,
    val renewals: Long = 0,
    val released: Boolean = false,
)
