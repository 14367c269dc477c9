package org.medlarhook.core.serving.second

/**
 * A request that waits for the answer, or the first event, of its first attempt.
 *
 * @property mayRunAgain true if its route allows a second run.
 * @property isAnswering true once the first event, or the head of the answer, has come.
 * @property predictedMs the time to it as predicted when the request was placed, which covers its size and queues.
 * @property times the recent times of requests like it.
 */
public data class LateRequest(
    val mayRunAgain: Boolean,
    val isAnswering: Boolean,
    val sentAtMs: Long,
    val predictedMs: Double,
    val deadlineAtMs: Long,
    val times: RecentTimes,
)

/**
 * The upstream at which a second attempt would run.
 *
 * @property predictedMs the predicted time to its answer, or first event.
 * @property requests requests that run or wait there.
 */
public data class Alternative(
    val predictedMs: Double,
    val requests: Double,
    val slots: Int,
    val isAvoided: Boolean,
)

/**
 * The pressure on a service.
 *
 * @property usedShare the share of all slots of its upstreams that is taken.
 * @property shedAtMs when this process or an upstream last refused a request for want of room, or null.
 */
public data class ServicePressure(
    val usedShare: Double,
    val shedAtMs: Long?,
)
