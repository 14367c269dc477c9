package org.medlarhook.serving.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What serving processes tell each other about streams, one JSON document a datagram. */
@Serializable
internal sealed interface PeerMessage {
    /** Streams that have begun at the sender. */
    @Serializable
    @SerialName("began")
    data class StreamsBegan(
        val streams: List<BegunStream>,
    ) : PeerMessage

    /** Asks at which version the stream of [attemptId] began, which may have lasted for [streamMs]. */
    @Serializable
    @SerialName("ask")
    data class VersionQuestion(
        val question: Long,
        val attemptId: String,
        val service: String,
        val streamMs: Long,
    ) : PeerMessage

    /** Answers a [VersionQuestion]; [softwareVersion] is null if the sender does not know it. */
    @Serializable
    @SerialName("tell")
    data class VersionAnswer(
        val question: Long,
        val softwareVersion: String?,
    ) : PeerMessage
}

/** A stream that began at [softwareVersion] and can be taken up for [remainingMs]. */
@Serializable
internal data class BegunStream(
    val attemptId: String,
    val softwareVersion: String,
    val remainingMs: Long,
)
