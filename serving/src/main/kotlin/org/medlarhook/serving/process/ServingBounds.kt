package org.medlarhook.serving.process

import org.medlarhook.core.serving.allowance.AllowanceBounds

/**
 * The time limits and retry limits of a serving process. They are logged with their names when settings are reloaded.
 *
 * @property keyTrustMs the greatest age of the last confirmed configuration at which keys are accepted.
 * @property repeatRatio retries per request of a service, over all processes.
 * @property repeatSlack retries in a window in addition to [repeatRatio], over all processes.
 * @property repeatWindowMs the window in which requests and retries are counted.
 * @property usageWindowMs the length of a usage window.
 * @property usageLateMs the time after the end of a usage window within which its report is due.
 * @property leaseMs the platform's bound on the lease of the usage reporter.
 * @property maxCallerPauseMs the longest time for which a caller that does not read may keep its upstream waiting,
 * or null if upstreams wait until the deadline.
 * @property allowance the tolerance for the use of workspaces' allowances.
 * @property shutdownMs how long a graceful shutdown may take.
 */
public data class ServingBounds(
    val keyTrustMs: Long,
    val repeatRatio: Double,
    val repeatSlack: Double,
    val repeatWindowMs: Long,
    val usageWindowMs: Long,
    val usageLateMs: Long,
    val leaseMs: Long,
    val shutdownMs: Long,
    val maxCallerPauseMs: Long? = null,
    val allowance: AllowanceBounds = AllowanceBounds(),
)
