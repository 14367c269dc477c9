package org.medlarhook.core.call

/**
 * One attempt at one upstream.
 *
 * @property attemptId never used for another attempt.
 * @property address host and port of the sidecar.
 * @property incarnation the sidecar process that the attempt is for.
 */
public data class AttemptRef(
    val attemptId: String,
    val upstreamId: String,
    val address: String,
    val incarnation: Long,
)
