package org.medlarhook.serving.duty.simulation

internal enum class PlatformFault { DOWN, SLOW, LOSES_ANSWERS }

/**
 * A usage report as the platform has accepted it.
 *
 * @property isExcused true if the order of this report doesn't count.
 */
internal data class SimReport(
    val atMs: Long,
    val window: Long,
    val counts: Map<String, Long>,
    val holder: String,
    val fencingToken: Long,
    val isExcused: Boolean,
)

/** The platform: accepts usage reports and records them. */
internal class SimPlatform(
    private val world: SimWorld,
) {
    private val accepted = ArrayList<SimReport>()
    private val impairedTimes = ArrayList<LongRange>()
    private var faultUntilMs = 0L
    private var current: PlatformFault? = null

    val reports: List<SimReport> get() = accepted

    val fault: PlatformFault? get() = current?.takeIf { world.nowMs < faultUntilMs }

    fun impair(kind: PlatformFault, durationMs: Long) {
        current = kind
        faultUntilMs = world.nowMs + durationMs
        excuseFor(durationMs)
    }

    /** Excuses the order of reports while the platform, its store included, is impaired, and just after that. */
    fun excuseFor(durationMs: Long) {
        impairedTimes += world.nowMs..world.nowMs + durationMs + SimVm.THAW_MS
    }

    fun accept(
        window: Long,
        counts: Map<String, Long>,
        sender: SimVm,
        holder: String,
        fencingToken: Long,
    ) {
        val isImpaired = impairedTimes.any { world.nowMs in it }
        val isExcused = isImpaired || sender.excuses.any { world.nowMs in it }
        accepted += SimReport(world.nowMs, window, counts, holder, fencingToken, isExcused)
    }
}
