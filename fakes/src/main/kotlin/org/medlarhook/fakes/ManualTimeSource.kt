package org.medlarhook.fakes

import org.medlarhook.ports.TimeSource

/** A clock that moves only when told to. */
public class ManualTimeSource(
    private var nowMs: Long = 1_000_000,
    private val wallOffsetMs: Long = 1_700_000_000_000,
) : TimeSource {
    override fun monotonicMs(): Long = nowMs

    override fun wallMs(): Long = nowMs + wallOffsetMs

    /** Moves both clocks forward by [durationMs]. */
    public fun advance(durationMs: Long) {
        nowMs += durationMs
    }
}
