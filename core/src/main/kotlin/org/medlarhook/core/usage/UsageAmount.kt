package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/** The usage of one resource, in tokens for models and in calls for services. */
@Serializable
public data class UsageAmount(
    val promptTokens: Long = 0,
    val outputTokens: Long = 0,
    val serviceCalls: Long = 0,
) {
    /** Returns the sum of both amounts. */
    public operator fun plus(other: UsageAmount): UsageAmount =
        UsageAmount(
            promptTokens = promptTokens + other.promptTokens,
            outputTokens = outputTokens + other.outputTokens,
            serviceCalls = serviceCalls + other.serviceCalls,
        )
}
