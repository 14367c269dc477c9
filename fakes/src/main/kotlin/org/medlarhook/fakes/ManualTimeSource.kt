package org.medlarhook.fakes

import org.medlarhook.ports.TimeSource

/**
 * Clocks that advance only through [advance].
 *
 * @param nowMs initial value of the monotonic clock.
 * @param wallOffsetMs constant offset of the wall clock from the monotonic clock.
 */
public class ManualTimeSource(
    private var nowMs: Long = 1_000_000,
    private val wallOffsetMs: Long = 1_700_000_000_000,
) : TimeSource {
    override fun monotonicMs(): Long = nowMs

    override fun wallMs(): Long = nowMs + wallOffsetMs

    /** Advances both clocks by [durationMs]. */
    public fun advance(durationMs: Long) {
        nowMs += durationMs
    }
}
