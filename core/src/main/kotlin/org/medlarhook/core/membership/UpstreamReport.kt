package org.medlarhook.core.membership

/**
 * What a sidecar says of its upstream.
 *
 * @property sentAtMs when it said so, on the sidecar's own monotonic clock.
 * @property accepting false while the upstream's engine does not answer.
 * @property draining true once the upstream takes no new work any more.
 */
public data class UpstreamReport(
    val upstreamId: String,
    val incarnation: Long,
    val sentAtMs: Long,
    val accepting: Boolean,
    val draining: Boolean,
)
