package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryRegistration

/**
 * The digest that an entry sends to a peer: its version, the staleness of its copy, and the statuses of other entries.
 *
 * @property sender the registration of the sender, for receivers that have not discovered it yet.
 * @property stalenessMs upper bound of the age of the newest table read that the sender covers, or null for none.
 * @property reachesTables false if the sender neither reaches the tables nor has an open write.
 */
public data class PeerDigest(
    val sender: EntryRegistration,
    val version: Long,
    val stalenessMs: Long?,
    val reachesTables: Boolean,
    val peerStatuses: List<RelayedPeerStatus> = emptyList(),
) {
    /** Identifier of the sender. */
    val entryId: String get() = sender.entryId
}

/** A peer status relayed by another entry, with an upper bound of its age. */
public data class RelayedPeerStatus(
    val entryId: String,
    val ageMs: Long,
    val reachesTables: Boolean,
)

/** A digest received as the answer to a call sent at [sentAtMs]. */
public data class AnsweredDigest(
    val sentAtMs: Long,
    val digest: PeerDigest,
)
