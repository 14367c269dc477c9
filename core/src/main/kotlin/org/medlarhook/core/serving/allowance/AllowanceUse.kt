package org.medlarhook.core.serving.allowance

import kotlinx.serialization.Serializable

/**
 * What one process has used of the allowance of [workspace], as it tells the others.
 *
 * A later report replaces an earlier one, so that a lost report costs no more than its delay.
 *
 * @property usedUnits units used since the process started.
 * @property askedUnits units of all requests since then, refused ones included.
 * @property usedPerS units that it uses a second.
 * @property askedPerS units that are asked of it a second.
 */
@Serializable
public data class AllowanceUse(
    val workspace: String,
    val usedUnits: Double = 0.0,
    val askedUnits: Double = 0.0,
    val usedPerS: Double = 0.0,
    val askedPerS: Double = 0.0,
) {
    init {
        val odd = listOf(usedUnits, askedUnits, usedPerS, askedPerS).firstOrNull { it !in 0.0..MAX_UNITS }
        require(odd == null) { "the use of an allowance is $odd, expected 0 to $MAX_UNITS" }
    }

    private companion object {
        /** More than a process serves in its lifetime. */
        const val MAX_UNITS = 1e15
    }
}
