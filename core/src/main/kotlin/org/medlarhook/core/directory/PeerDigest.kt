package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryRegistration

/**
 * What one entry tells another: its version, the age of its news, and the entries it has heard from.
 *
 * @property sender the entry itself, for receivers that don't know it yet.
 * @property stalenessMs upper bound of the age of its news, or null if it has none.
 */
public data class PeerDigest(
    val sender: EntryRegistration,
    val version: Long,
    val stalenessMs: Long?,
    val reachesTables: Boolean,
    val peerStatuses: List<RelayedPeerStatus> = emptyList(),
) {
    /** The sender's identifier. */
    val entryId: String get() = sender.entryId
}

/** A peer status passed on, with an upper bound of its age. */
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
