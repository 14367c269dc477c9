package org.medlarhook.entry.directory

import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryJson
import org.medlarhook.core.directory.PeerDigest
import org.medlarhook.core.directory.RelayedPeerStatus
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.protocol.ChangesPage
import org.medlarhook.protocol.DirectoryChangeMessage
import org.medlarhook.protocol.DirectoryDigest
import org.medlarhook.protocol.EntrySighting

/** Converts the digest to its protobuf message. */
internal fun PeerDigest.toMessage(): DirectoryDigest =
    DirectoryDigest
        .newBuilder()
        .setEntryId(sender.entryId)
        .setVmId(sender.vmId)
        .setDataCentre(sender.dataCentre)
        .setRegion(sender.region)
        .setPeerAddress(sender.peerAddress)
        .setVersion(version)
        .setKnowsNews(stalenessMs != null)
        .setNewsAgeMs(stalenessMs ?: 0)
        .setReachesTables(reachesTables)
        .addAllSightings(peerStatuses.map { it.toMessage() })
        .build()

/** Converts the protobuf message to a digest. */
internal fun DirectoryDigest.toDigest(): PeerDigest =
    PeerDigest(
        sender = EntryRegistration(entryId, vmId, dataCentre, region, peerAddress, startNonce = ""),
        version = version,
        stalenessMs = newsAgeMs.takeIf { knowsNews },
        reachesTables = reachesTables,
        peerStatuses = sightingsList.map { RelayedPeerStatus(it.entryId, it.ageMs, it.reachesTables) },
    )

/** Converts the changes to a protobuf page, with [version] as the sender's directory version. */
internal fun List<DirectoryChange>.toPage(version: Long): ChangesPage =
    ChangesPage
        .newBuilder()
        .setVersion(version)
        .addAllChanges(map { it.toMessage() })
        .build()

/** Decodes the changes in the page. */
internal fun ChangesPage.toChanges(): List<DirectoryChange> = changesList.map { DirectoryJson.decodeChange(it.json) }

private fun DirectoryChange.toMessage(): DirectoryChangeMessage =
    DirectoryChangeMessage
        .newBuilder()
        .setVersion(version)
        .setJson(DirectoryJson.encode(this))
        .build()

private fun RelayedPeerStatus.toMessage(): EntrySighting =
    EntrySighting
        .newBuilder()
        .setEntryId(entryId)
        .setAgeMs(ageMs)
        .setReachesTables(reachesTables)
        .build()
