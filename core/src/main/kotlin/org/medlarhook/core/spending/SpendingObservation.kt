package org.medlarhook.core.spending

/**
 * The upstreams of one kind in one data centre.
 *
 * @property demandUpstreams measured demand in upstreams' worth of work.
 * @property serving upstreams that take work, least loaded first.
 * @property draining upstreams that take no new work.
 * @property drained the ones of [draining] that hold no work any more.
 * @property arriving upstreams that were ordered and have not arrived.
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
