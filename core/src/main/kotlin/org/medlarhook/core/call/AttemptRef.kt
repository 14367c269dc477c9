package org.medlarhook.core.call

/**
 * Identifies one attempt at one upstream.
 *
 * @property attemptId unique id of the attempt.
 * @property address host and port of the sidecar.
 * @property incarnation incarnation of the sidecar that the attempt is sent to; another incarnation refuses it.
 */
public data class AttemptRef(
    val attemptId: String,
    val upstreamId: String,
    val address: String,
    val incarnation: Long,
)
