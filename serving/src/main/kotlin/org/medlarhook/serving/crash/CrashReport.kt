package org.medlarhook.serving.crash

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.medlarhook.core.serving.crash.Suspect

/**
 * What a serving process knows about requests and prompt parts under which upstreams crash, as told to other processes.
 * Times are ages, because the processes have no clock in common.
 *
 * @property sound those that had a complete answer, which refutes earlier crashes.
 * @property isQuestion true if the sender asks for what the receiver knows.
 */
@Serializable
internal data class CrashReport(
    val crashed: List<CrashedSuspect> = emptyList(),
    val sound: List<SoundSuspect> = emptyList(),
    val isQuestion: Boolean = false,
) {
    companion object {
        /** Suspects with longer identifiers than the platform's own are not observed. */
        const val MAX_ID = 64
        private const val MAX_AGE_MS = 1L shl 53

        /** Fails on what only a faulty process sends. */
        fun check(id: String, ageMs: Long) {
            require(id.length <= MAX_ID) { "an identifier has ${id.length} characters; the limit is $MAX_ID" }
            require(ageMs in 0..MAX_AGE_MS) { "the age is $ageMs ms; it must be from 0 to $MAX_AGE_MS" }
        }

        fun suspect(id: String, isRequest: Boolean): Suspect =
            if (isRequest) Suspect.Request(id) else Suspect.Part(id)
    }
}

/** The upstreams that crashed while they ran requests with the suspect [id]. */
@Serializable
internal data class CrashedSuspect(
    @SerialName("part") val id: String,
    val crashes: List<UpstreamCrash>,
    val isRequest: Boolean = false,
) {
    init {
        CrashReport.check(id, ageMs = 0)
    }

    val suspect: Suspect get() = CrashReport.suspect(id, isRequest)

    companion object {
        fun of(suspect: Suspect, crashes: List<UpstreamCrash>) =
            CrashedSuspect(suspect.id, crashes, suspect is Suspect.Request)
    }
}

/** A crash, [ageMs] ago, of the upstream that started at [startedAtMs]. */
@Serializable
internal data class UpstreamCrash(
    val upstreamId: String,
    val startedAtMs: Long,
    val ageMs: Long,
) {
    init {
        CrashReport.check(upstreamId, ageMs)
    }
}

/** A complete answer on the suspect [id], [ageMs] ago. */
@Serializable
internal data class SoundSuspect(
    @SerialName("part") val id: String,
    val ageMs: Long,
    val isRequest: Boolean = false,
) {
    init {
        CrashReport.check(id, ageMs)
    }

    val suspect: Suspect get() = CrashReport.suspect(id, isRequest)

    companion object {
        fun of(suspect: Suspect, ageMs: Long) = SoundSuspect(suspect.id, ageMs, suspect is Suspect.Request)
    }
}
