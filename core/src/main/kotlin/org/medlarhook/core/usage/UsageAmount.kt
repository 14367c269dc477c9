package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/** What was used of one resource. */
@Serializable
public data class UsageAmount(
    val promptTokens: Long = 0,
    val outputTokens: Long = 0,
    val serviceCalls: Long = 0,
) {
    /** The sum of both. */
    public operator fun plus(other: UsageAmount): UsageAmount =
        UsageAmount(
            promptTokens = promptTokens + other.promptTokens,
            outputTokens = outputTokens + other.outputTokens,
            serviceCalls = serviceCalls + other.serviceCalls,
        )
}
