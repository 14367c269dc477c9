package org.medlarhook.core.membership

/**
 * The state of an upstream as its sidecar reports it.
 *
 * @property sentAtMs when the report was sent, on the sidecar's monotonic clock.
 * @property accepting false while the engine of the upstream does not answer.
 * @property draining true once the upstream accepts no new work.
 */
public data class UpstreamReport(
    val upstreamId: String,
    val incarnation: Long,
    val sentAtMs: Long,
    val accepting: Boolean,
    val draining: Boolean,
)
