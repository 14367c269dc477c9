package org.medlarhook.core.serving.config

import org.medlarhook.core.serving.load.GenerationWork

/**
 * What a workspace may use of all processes together, in [unit]s.
 *
 * @property perS units a second.
 * @property burst units that it may use at once after it has used none.
 * @property plainTokens the tokens of a request that is not a generation.
 */
public data class Allowance(
    val perS: Double,
    val burst: Double,
    val unit: AllowanceUnit,
    val plainTokens: Long = 0,
) {
    /** The units that a request with [generation] uses; null for one that is not a generation. */
    public fun costOf(generation: GenerationWork?): Double =
        when (unit) {
            AllowanceUnit.REQUESTS -> 1.0
            AllowanceUnit.TOKENS ->
                generation?.let { it.promptTokens.toDouble() + it.maxOutputTokens } ?: plainTokens.toDouble()
        }
}
