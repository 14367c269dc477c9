package org.medlarhook.serving.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.medlarhook.core.serving.fleet.RegistryPosition
import org.medlarhook.core.serving.resume.BegunStream
import org.medlarhook.serving.allowance.AllowanceReport
import org.medlarhook.serving.crash.CrashReport

/** What serving processes tell each other about streams, limits, crashes and allowances, one JSON a datagram. */
@Serializable
internal sealed interface PeerMessage {
    /** Streams that have begun at the sender, or of which it was told. */
    @Serializable
    @SerialName("began")
    data class StreamsBegan(
        val streams: List<BegunStream>,
    ) : PeerMessage

    /** Asks where a stream began; [number] tells the sender's questions apart. */
    @Serializable
    @SerialName("ask")
    data class OriginQuestion(
        val number: Long,
        val stream: StreamQuestion,
    ) : PeerMessage

    /** Answers question [number]; [answer] is null if the sender does not know. */
    @Serializable
    @SerialName("tell")
    data class OriginAnswer(
        val number: Long,
        val answer: OriginReport?,
    ) : PeerMessage

    /** An upstream has named or changed a limit of its requests, or has none any more. */
    @Serializable
    @SerialName("limit")
    data class LimitChanged(
        val report: LimitReport,
    ) : PeerMessage

    /** Prompt parts under which engines crash or have answered. */
    @Serializable
    @SerialName("crash")
    data class CrashesReported(
        val report: CrashReport,
    ) : PeerMessage

    /** What the sender has used of the allowances of workspaces. */
    @Serializable
    @SerialName("used")
    data class AllowancesUsed(
        val report: AllowanceReport,
    ) : PeerMessage
}

/**
 * A stream whose origin is asked for.
 *
 * @property workspace the workspace of the caller, or null if it needs no key.
 * @property attemptId the attempt that began it, or null if the caller does not name it.
 * @property service the service that would go on with it.
 * @property hasOneService true if the route has no other service that may have begun it.
 * @property streamMs how long ago it may have begun.
 * @property watchedFrom from where on the asking process knows all changes of the registry, up to a read that began
 * after the stream was taken up; or null if only a record of the stream answers the question.
 */
@Serializable
internal data class StreamQuestion(
    val workspace: String?,
    val attemptId: String?,
    val service: String,
    val hasOneService: Boolean,
    val streamMs: Long,
    val watchedFrom: RegistryPosition? = null,
)

/** Where a stream began; [isRecorded] is false if the only version of the service was taken. */
@Serializable
internal data class OriginReport(
    val service: String,
    val softwareVersion: String,
    val isRecorded: Boolean,
)
