package org.medlarhook.core.serving.trust

/**
 * Decides whether keys may still be accepted from what was last read of the configuration.
 *
 * A read confirms what was in force when its call began. Time that a suspended machine does not count, and calls that
 * were open then, confirm nothing: a jump between the clocks ends the trust until a later call succeeds.
 *
 * @property confirmedAtMs on the steady clock, when the last successful read began; null before the first.
 * @property clockGapMs wall clock less steady clock, as last seen.
 * @property generation grows with each jump; reads that began in an earlier one confirm nothing.
 */
public data class ConfigFreshness(
    private val maxAgeMs: Long,
    val confirmedAtMs: Long? = null,
    private val clockGapMs: Long? = null,
    val generation: Int = 0,
) {
    /** Records that a read which began at [begunAtMs] in [begunInGeneration] has confirmed the configuration. */
    public fun confirmed(begunAtMs: Long, begunInGeneration: Int): ConfigFreshness =
        if (begunInGeneration != generation || (confirmedAtMs != null && begunAtMs <= confirmedAtMs)) {
            this
        } else {
            copy(confirmedAtMs = begunAtMs)
        }

    /** Changes the greatest age at which keys are accepted. */
    public fun withMaxAge(maxAgeMs: Long): ConfigFreshness = copy(maxAgeMs = maxAgeMs)

    /** Compares the clocks; a forward jump of the wall clock may be a suspension. */
    public fun observed(nowMs: Long, wallMs: Long): ConfigFreshness {
        val gapMs = wallMs - nowMs
        val hasJumped = clockGapMs != null && gapMs - clockGapMs > MAX_CLOCK_JUMP_MS
        return if (hasJumped) {
            copy(confirmedAtMs = null, clockGapMs = gapMs, generation = generation + 1)
        } else {
            copy(clockGapMs = gapMs)
        }
    }

    /** Returns true if a key may be accepted at [nowMs]. */
    public fun mayAccept(nowMs: Long): Boolean = confirmedAtMs != null && nowMs - confirmedAtMs <= maxAgeMs

    private companion object {
        /** Clocks drift by far less between two looks; a suspension shorter than this stays within the margin. */
        const val MAX_CLOCK_JUMP_MS = 300L
    }
}
