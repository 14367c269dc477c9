package org.medlarhook.serving.duty.simulation

import org.medlarhook.ports.TimeSource

/**
 * A virtual machine: its clocks, and its links to the store and the platform.
 *
 * @property countsSuspension true if the monotonic clock goes on while the machine is suspended.
 */
internal class SimVm(
    val name: String,
    private val world: SimWorld,
    private val countsSuspension: Boolean,
) : TimeSource {
    private val bootedAtMs = world.nowMs - world.random.nextLong(1_000_000)
    private var suspendedForMs = 0L
    private var wallStepMs = 0L

    /** The end of the present or last suspension. */
    var resumesAtMs = 0L
        private set
    var suspendedAtMs = 0L
        private set
    val link = SimLink(world)

    /** Times in which a late report of this machine doesn't count. */
    val excuses = ArrayList<LongRange>()
    var process: SimProcess? = null

    private var lossyUntilMs = 0L

    /** True while packets are lost and sent again. */
    val isLossy: Boolean get() = world.nowMs < lossyUntilMs

    val isSuspended: Boolean get() = world.nowMs < resumesAtMs

    override fun monotonicMs(): Long {
        val upToMs = if (isSuspended && !countsSuspension) suspendedAtMs else world.nowMs
        return upToMs - bootedAtMs - if (countsSuspension) 0 else suspendedForMs
    }

    override fun wallMs(): Long = TRUE_START_MS + world.nowMs + wallStepMs

    fun stepWall(byMs: Long) {
        wallStepMs += byMs
    }

    /** Suspends the machine for [durationMs], unless it is suspended already. */
    fun suspend(durationMs: Long) {
        if (isSuspended) return
        process?.countRequests()
        suspendedAtMs = world.nowMs
        resumesAtMs = world.nowMs + durationMs
        world.at(resumesAtMs) {
            suspendedForMs += durationMs
            process?.skipRequests()
        }
        excuses += resumesAtMs..resumesAtMs + THAW_MS
    }

    fun losePackets(durationMs: Long) {
        lossyUntilMs = world.nowMs + durationMs
        excuses += lossyUntilMs..lossyUntilMs + THAW_MS
    }

    fun cut(durationMs: Long, direction: CutDirection, isPlatformCut: Boolean) {
        link.cut(world.nowMs + durationMs, direction, isPlatformCut)
        excuses += world.nowMs + durationMs..world.nowMs + durationMs + THAW_MS
    }

    companion object {
        /** The true time of day when the simulation begins. */
        const val TRUE_START_MS = 1_796_472_001_300L

        /** The bound `thaw_ms` of the users' pages. */
        const val THAW_MS = 300L
    }
}

internal enum class CutDirection { BOTH, REQUESTS, ANSWERS }

/** The link of a machine to the store and to the platform. */
internal class SimLink(
    private val world: SimWorld,
) {
    private var cutUntilMs = 0L
    private var direction = CutDirection.BOTH
    private var isPlatformCut = false

    fun cut(untilMs: Long, direction: CutDirection, isPlatformCut: Boolean) {
        cutUntilMs = untilMs
        this.direction = direction
        this.isPlatformCut = isPlatformCut
    }

    fun passesRequest(isToPlatform: Boolean): Boolean = !isCut(isToPlatform) || direction == CutDirection.ANSWERS

    fun passesAnswer(isToPlatform: Boolean): Boolean = !isCut(isToPlatform) || direction == CutDirection.REQUESTS

    private fun isCut(isToPlatform: Boolean): Boolean = world.nowMs < cutUntilMs && (isPlatformCut || !isToPlatform)
}
