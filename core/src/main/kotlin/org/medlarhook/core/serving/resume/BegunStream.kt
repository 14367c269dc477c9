package org.medlarhook.core.serving.resume

import kotlinx.serialization.Serializable

/**
 * A stream that began at an upstream of [service] with [softwareVersion].
 *
 * @property workspace the workspace of its caller, or null if it needs no key.
 * @property attemptId the attempt of the caller that brought its first event.
 * @property remainingMs how much longer it can be taken up.
 */
@Serializable
public data class BegunStream(
    val workspace: String?,
    val attemptId: String,
    val service: String,
    val softwareVersion: String,
    val remainingMs: Long,
) {
    /** True if the caller's identifier and the version are short enough to be kept and sent. */
    public val isRecordable: Boolean
        get() = attemptId.isNotBlank() && attemptId.length <= MAX_TEXT && softwareVersion.length <= MAX_TEXT

    public companion object {
        /** Longer identifiers than the platform's own are not worth their memory. */
        private const val MAX_TEXT = 64

        /** Streams are not kept longer than this, whatever deadline their caller states. */
        public const val MAX_STREAM_MS: Long = 600_000L
    }
}
