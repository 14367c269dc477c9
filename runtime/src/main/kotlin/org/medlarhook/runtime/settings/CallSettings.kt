package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * How an entry calls upstreams for its callers.
 *
 * @property maxAttempts attempts of one request in all.
 * @property firstEventTimeoutMs how long an attempt may stay without a first event on a connection that is silent too.
 * @property silenceTimeoutMs how long an attempt may stay silent after its first event.
 * @property heartbeatTimeoutMs silence of a sidecar's status stream after which its connection is replaced.
 * @property tickMs how often deadlines and timeouts of open requests are checked.
 * @property keyCheckMs how often the key of an open request is checked again.
 * @property callerHeartbeatMs how often an idle stream towards a caller gets a comment line.
 * @property maxBufferedBytes bytes held for one slow caller before its upstream is held back.
 * @property bodyTimeoutMs how long a caller may take to send a body.
 * @property callerIdleTimeoutMs how long a connection of a caller may stay without progress.
 * @property workers threads that handle the events of all requests.
 */
@Serializable
public data class CallSettings(
    val maxAttempts: Int = 3,
    val firstEventTimeoutMs: Long = 10_000,
    val silenceTimeoutMs: Long = 5_000,
    val heartbeatTimeoutMs: Long = 5_000,
    val tickMs: Long = 100,
    val keyCheckMs: Long = 1_000,
    val callerHeartbeatMs: Long = 2_000,
    val maxBufferedBytes: Int = 262_144,
    val bodyTimeoutMs: Long = 10_000,
    val callerIdleTimeoutMs: Long = 30_000,
    val workers: Int = 8,
)
