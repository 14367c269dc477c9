package org.medlarhook.core.membership

import kotlinx.serialization.Serializable

/** An entry's row in the entry table, written at its start and deleted at its graceful stop. */
@Serializable
public data class EntryRegistration(
    val entryId: String,
    val vmId: String,
    val dataCentre: String,
    val region: String,
    val peerAddress: String,
    val startNonce: String,
)
