package org.medlarhook.core.serving.allowance

/** The use of one process as of a moment, from which its later use is estimated. */
public data class ToldUse internal constructor(
    internal val usedUnits: Double,
    internal val askedUnits: Double,
    internal val used: DecayingRate,
    internal val asked: DecayingRate,
) {
    internal fun withUsed(units: Double, nowMs: Long): ToldUse =
        copy(usedUnits = usedUnits + units, used = used.plusUnits(units, nowMs))

    internal fun withAsked(units: Double, nowMs: Long): ToldUse =
        copy(askedUnits = askedUnits + units, asked = asked.plusUnits(units, nowMs))

    internal companion object {
        fun none(nowMs: Long): ToldUse = ToldUse(0.0, 0.0, DecayingRate(0.0, nowMs), DecayingRate(0.0, nowMs))

        fun of(use: AllowanceUse, nowMs: Long): ToldUse =
            ToldUse(
                use.usedUnits,
                use.askedUnits,
                DecayingRate(use.usedPerS, nowMs),
                DecayingRate(use.askedPerS, nowMs),
            )
    }
}
