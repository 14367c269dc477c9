package org.medlarhook.core.spending

/**
 * The upstreams of one kind in one data centre.
 *
 * @property demandUpstreams measured demand; 1.0 is the work that one upstream can do.
 * @property serving upstreams that accept work, least loaded first.
 * @property draining upstreams that accept no new work.
 * @property drained the members of [draining] that have no work left.
 * @property arriving number of upstreams that were ordered and do not serve yet.
 * @property lastChangeAtMs time of the last start, drain or undrain.
 */
public data class SpendingObservation(
    val demandUpstreams: Double,
    val measuredAtMs: Long,
    val serving: List<String>,
    val draining: List<String>,
    val drained: List<String>,
    val arriving: Int,
    val lastChangeAtMs: Long,
)
