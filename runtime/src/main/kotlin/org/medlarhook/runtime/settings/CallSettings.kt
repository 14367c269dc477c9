package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * How an entry calls upstreams for its callers.
 *
 * @property maxAttempts largest number of attempts of one request, including the first.
 * @property firstEventTimeoutMs time after which an attempt without a first event is given up, if its connection has
 * also been silent.
 * @property silenceTimeoutMs longest time without an event after the first event of an attempt.
 * @property heartbeatTimeoutMs time without a message on a sidecar's status stream after which the connection is
 * replaced.
 * @property tickMs interval between checks of the deadlines and timeouts of open requests.
 * @property keyCheckMs interval between checks of whether the API key of an open request is still valid.
 * @property callerHeartbeatMs time without data after which a stream to a caller gets a comment line.
 * @property maxBufferedBytes bytes buffered for one slow caller before back-pressure is applied to the upstream.
 * @property bodyTimeoutMs longest time for a caller to send a request body.
 * @property callerIdleTimeoutMs longest time without progress on a caller's connection.
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
