package org.medlarhook.serving.allowance

import kotlinx.serialization.Serializable
import org.medlarhook.core.serving.allowance.AllowanceUse

/**
 * What [process] has used of allowances; without [uses], only that it can be heard.
 *
 * @property process the name with which it publishes its usage counts.
 */
@Serializable
internal data class AllowanceReport(
    val process: String,
    val uses: List<AllowanceUse> = emptyList(),
)
