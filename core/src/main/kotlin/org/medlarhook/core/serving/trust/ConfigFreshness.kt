package org.medlarhook.core.serving.trust

/**
 * Decides whether the configuration that was last read is fresh enough to accept API keys from it.
 *
 * A read confirms the configuration that was in force when its call began. The monotonic clock does not count the time
 * for which a VM is suspended, so the age of a confirmation from before a suspension is unknown, and so is that of a
 * call that was open during it. A jump between the clocks therefore withdraws the confirmation until a call that begins
 * later succeeds.
 *
 * After a drill the store may show an older version than one seen before, or none, until the operator writes his own
 * again. A read of that confirms nothing: which keys were withdrawn since, the store doesn't tell.
 *
 * @property confirmedAtMs when the last successful read began, on the monotonic clock; null before the first.
 * @property clockGapMs wall clock minus monotonic clock when last observed.
 * @property generation increases by one with each jump; reads that began in an earlier generation confirm nothing.
 * @property shownVersion the version that the store shows, or null if it shows none or has not been read since a drill.
 * @property newestVersion the newest version that it has ever shown.
 */
public data class ConfigFreshness(
    private val maxAgeMs: Long,
    val confirmedAtMs: Long? = null,
    private val clockGapMs: Long? = null,
    val generation: Int = 0,
    private val shownVersion: Long? = null,
    private val newestVersion: Long? = null,
) {
    /** Records that the store shows [version] of the configuration. */
    public fun shown(version: Long): ConfigFreshness =
        copy(shownVersion = version, newestVersion = maxOf(version, newestVersion ?: version))

    /** Records that the store came back from an older copy: what it shows is unknown until it is read again. */
    public fun storeRestored(): ConfigFreshness = copy(shownVersion = null)

    /** True if the store shows no version, or an older one than it has shown before. */
    private val isOutdated: Boolean
        get() = newestVersion != null && (shownVersion == null || shownVersion < newestVersion)

    /** Records that a read which began at [begunAtMs] in [begunInGeneration] has confirmed the configuration. */
    public fun confirmed(begunAtMs: Long, begunInGeneration: Int): ConfigFreshness =
        if (isOutdated || begunInGeneration != generation || isNoLater(begunAtMs)) {
            this
        } else {
            copy(confirmedAtMs = begunAtMs)
        }

    private fun isNoLater(begunAtMs: Long): Boolean = confirmedAtMs != null && begunAtMs <= confirmedAtMs

    /** Changes the greatest age of a confirmation at which keys are accepted. */
    public fun withMaxAge(maxAgeMs: Long): ConfigFreshness = copy(maxAgeMs = maxAgeMs)

    /** Compares the clocks: a wall clock that has jumped forward against the monotonic one may be a suspension. */
    public fun observed(nowMs: Long, wallMs: Long): ConfigFreshness {
        val gapMs = wallMs - nowMs
        val hasJumped = clockGapMs != null && gapMs - clockGapMs > MAX_CLOCK_JUMP_MS
        return if (hasJumped) suspended().copy(clockGapMs = gapMs) else copy(clockGapMs = gapMs)
    }

    /**
     * Records a suspension. A wall clock that has jumped back meanwhile hides it from [observed]; the store's clock
     * shows it.
     */
    public fun suspended(): ConfigFreshness = copy(confirmedAtMs = null, generation = generation + 1)

    /** Returns true if a key may be accepted at [nowMs]. */
    public fun mayAccept(nowMs: Long): Boolean = confirmedAtMs != null && nowMs - confirmedAtMs <= maxAgeMs

    private companion object {
        /** Clocks drift far less between two observations; the margin of the age limit covers shorter suspensions. */
        const val MAX_CLOCK_JUMP_MS = 300L
    }
}
