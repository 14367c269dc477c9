package org.medlarhook.core.serving.resume

/** Which knowledge of the registry lets a process infer the version of a stream. */
internal enum class InferenceRule {
    /** A read that began after the stream was taken up; other processes answer up to a position. */
    READ_AFTERWARDS,

    /** A read that began within the last five seconds, at the process itself or at one that answers. */
    READ_LATELY,
}

/** What happens while versions change. */
internal data class ReleaseTroubles(
    val cutsStore: Boolean = false,
    val cutsDatagrams: Boolean = false,
    val suspends: Boolean = false,
    val kills: Boolean = false,
    val datagramLoss: Double = 0.0,
    val hasReleases: Boolean = true,
)

/** Streams that were taken up at another process than the one that began them. */
internal data class ReleaseOutcome(
    val takenUp: Int = 0,
    val wentOn: Int = 0,
    val wrong: Int = 0,
    val reads: Int = 0,
    val messages: Int = 0,
) {
    operator fun plus(other: ReleaseOutcome): ReleaseOutcome =
        ReleaseOutcome(
            takenUp + other.takenUp,
            wentOn + other.wentOn,
            wrong + other.wrong,
            reads + other.reads,
            messages + other.messages,
        )
}
