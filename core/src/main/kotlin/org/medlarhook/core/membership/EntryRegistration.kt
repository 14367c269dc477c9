package org.medlarhook.core.membership

import kotlinx.serialization.Serializable

/** The row of an entry in the entry table, written at its start and deleted at a graceful stop. */
@Serializable
public data class EntryRegistration(
    val entryId: String,
    val vmId: String,
    val dataCentre: String,
    val region: String,
    val peerAddress: String,
    val startNonce: String,
)
