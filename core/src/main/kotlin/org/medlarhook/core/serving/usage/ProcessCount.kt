package org.medlarhook.core.serving.usage

import kotlinx.serialization.Serializable

/**
 * What one process has counted in one window, as it publishes it.
 *
 * @property isClosed true if the process counts no more in this window.
 * @property isLast true if the process has ended and publishes no later window.
 */
@Serializable
public data class ProcessCount(
    val counts: Map<String, Long>,
    val isClosed: Boolean,
    val isLast: Boolean = false,
)
