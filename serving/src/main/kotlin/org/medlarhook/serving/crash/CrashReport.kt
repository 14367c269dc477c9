package org.medlarhook.serving.crash

import kotlinx.serialization.Serializable

/**
 * What a serving process knows about prompt parts under which engines crash, as told to other processes. Times are
 * ages, because the processes have no clock in common.
 *
 * @property sound parts that had a complete answer, which refutes earlier crashes.
 * @property isQuestion true if the sender asks for what the receiver knows.
 */
@Serializable
internal data class CrashReport(
    val crashed: List<CrashedPart> = emptyList(),
    val sound: List<SoundPart> = emptyList(),
    val isQuestion: Boolean = false,
) {
    companion object {
        /** Parts with longer identifiers than the platform's own are not observed. */
        const val MAX_ID = 64

        /** Fails on what only a faulty process sends. */
        fun check(id: String, ageMs: Long) {
            require(id.length <= MAX_ID) { "an identifier has ${id.length} characters; the limit is $MAX_ID" }
            require(ageMs >= 0) { "the age is $ageMs ms; it must not be negative" }
        }
    }
}

/** The engines that crashed while they ran requests with [part]. */
@Serializable
internal data class CrashedPart(
    val part: String,
    val crashes: List<EngineCrash>,
) {
    init {
        CrashReport.check(part, ageMs = 0)
    }
}

/** A crash, [ageMs] ago, of the engine that started at [startedAtMs]. */
@Serializable
internal data class EngineCrash(
    val upstreamId: String,
    val startedAtMs: Long,
    val ageMs: Long,
) {
    init {
        CrashReport.check(upstreamId, ageMs)
    }
}

/** A complete answer on [part], [ageMs] ago. */
@Serializable
internal data class SoundPart(
    val part: String,
    val ageMs: Long,
) {
    init {
        CrashReport.check(part, ageMs)
    }
}
