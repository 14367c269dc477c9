package org.medlarhook.serving.crash

import org.medlarhook.core.serving.crash.CrashingParts
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.ports.TimeSource

/**
 * Observes which prompt parts crash engines, refuses requests with them, and tells the other processes. Used on the
 * event loop only.
 *
 * All processes are told of a crash at once. A datagram may be lost and a process may start later, so what is known is
 * repeated to a few processes while it matters.
 *
 * @param isLeaving true if the end of an upstream was expected.
 * @param schedule runs a task on the event loop after some milliseconds.
 */
internal class PromptCrashes(
    private val time: TimeSource,
    private val log: PromptCrashLog,
    private val isLeaving: (Upstream) -> Boolean,
    private val schedule: (Long, () -> Unit) -> Unit,
) {
    private var state = CrashingParts()
    private val untoldCrashed = LinkedHashSet<String>()
    private val untoldSound = LinkedHashSet<String>()
    private var isTellingScheduled = false
    private var nextRepeatAtMs = 0L

    /** The other processes. */
    var peers: CrashPeers = NoCrashPeers

    /** The parts for which requests are refused, for state dumps. */
    val quarantinedParts: List<String>
        get() = time.monotonicMs().let { nowMs -> state.culprits.filter { state.isQuarantined(it, nowMs) } }

    /** Records that [upstream] closed the connection while it answered [demand]. */
    fun connectionLost(demand: Demand, upstream: Upstream) {
        val parts = sharedParts(demand)
        if (parts.isEmpty() || isLeaving(upstream)) return
        update(state.crashed(parts, upstream.incarnation, time.monotonicMs()), parts, "own")
        tell(crashed = parts.filter { it in state.evidence })
    }

    /** Records a complete answer on [demand]. */
    fun answered(demand: Demand) {
        val parts = sharedParts(demand)
        if (parts.isEmpty()) return
        val accused = parts.filter { it in state.evidence }
        update(state.succeeded(parts, time.monotonicMs()), accused, "own")
        if (accused.isNotEmpty()) tell(sound = accused)
    }

    /** True if [demand] has a quarantined part and must not be sent to an engine. */
    fun isQuarantined(demand: Demand): Boolean = quarantinedPart(demand) != null

    /** Logs and counts that [demand] is refused for a quarantined part; returns false if it has none. */
    fun refuses(demand: Demand): Boolean {
        val part = quarantinedPart(demand) ?: return false
        log.refused(part, time.monotonicMs())
        return true
    }

    /** True if [demand], under which [crashesMet] engines have crashed, must not be sent to another one. */
    fun forbidsRetry(demand: Demand, crashesMet: Int): Boolean =
        isQuarantined(demand) || crashesMet >= MAX_CRASHES_MET && state.hasSuspect(sharedParts(demand))

    private fun quarantinedPart(demand: Demand): String? =
        if (state.evidence.isEmpty()) null else state.refusedFor(sharedParts(demand), time.monotonicMs())

    /** All parts but the last, which belongs to one request or session and can't crash others. */
    private fun sharedParts(demand: Demand): List<String> =
        demand.generation?.parts.orEmpty().dropLast(1).map {
            it.id
        }.filter { it.length <= CrashReport.MAX_ID }.distinct()

    /** Takes over what another process has told; returns what it should be told in turn, or null. */
    fun told(report: CrashReport): CrashReport? {
        val nowMs = time.monotonicMs()
        val refuted = LinkedHashSet<String>()
        report.crashed.forEach { told ->
            told.crashes.forEach { crash ->
                val atMs = nowMs - crash.ageMs
                if (state.refutes(told.part, atMs)) refuted += told.part
                val incarnation = Incarnation(crash.upstreamId, crash.startedAtMs)
                update(state.crashed(listOf(told.part), incarnation, atMs), listOf(told.part), "peer")
            }
        }
        report.sound.forEach { told ->
            update(state.succeeded(listOf(told.part), nowMs - told.ageMs), listOf(told.part), "peer")
        }
        val answer = CrashReport(if (report.isQuestion) strongestEvidence() else emptyList(), soundParts(refuted))
        return answer.takeIf { it.crashed.isNotEmpty() || it.sound.isNotEmpty() }
    }

    /** What a process is told, and asked for, when it becomes known. */
    fun greeting(): CrashReport = CrashReport(strongestEvidence(), isQuestion = true)

    /** Periodic work: repeats what is known to a few other processes, and drops what is too old. */
    fun tick() {
        val nowMs = time.monotonicMs()
        if (nowMs < nextRepeatAtMs) return
        nextRepeatAtMs = nowMs + REPEAT_INTERVAL_MS
        update(state.prune(nowMs), emptyList(), "age")
        strongestEvidence().takeIf { it.isNotEmpty() }?.let { peers.tellSome(CrashReport(it)) }
    }

    private fun tell(crashed: Collection<String> = emptyList(), sound: Collection<String> = emptyList()) {
        untoldCrashed += crashed
        untoldSound += sound
        if (isTellingScheduled || untoldCrashed.isEmpty() && untoldSound.isEmpty()) return
        isTellingScheduled = true
        schedule(TELL_DELAY_MS) { tellAll() }
    }

    private fun tellAll() {
        isTellingScheduled = false
        val report = CrashReport(evidenceOf(untoldCrashed), soundParts(untoldSound))
        untoldCrashed.clear()
        untoldSound.clear()
        peers.tell(report)
    }

    /** The evidence that still matters to others: of several crashes, or of recent ones. */
    private fun strongestEvidence(): List<CrashedPart> {
        val nowMs = time.monotonicMs()
        return evidenceOf(
            state.evidence.filterValues { crashes ->
                crashes.size > 1 || crashes.values.any { nowMs - it < RECENT_MS }
            }.keys,
        )
    }

    private fun evidenceOf(parts: Collection<String>): List<CrashedPart> {
        val nowMs = time.monotonicMs()
        return parts
            .mapNotNull { part -> state.evidence[part]?.let { part to it } }
            .sortedByDescending { (_, crashes) -> crashes.size }
            .take(MAX_PARTS_TOLD)
            .map { (part, crashes) ->
                val newest = crashes.entries.sortedByDescending { it.value }.take(MAX_CRASHES_TOLD)
                CrashedPart(
                    part,
                    newest.map { (engine, atMs) -> EngineCrash(engine.upstreamId, engine.startedAtMs, nowMs - atMs) },
                )
            }
    }

    private fun soundParts(parts: Collection<String>): List<SoundPart> {
        val nowMs = time.monotonicMs()
        return parts.take(MAX_SOUND_TOLD).mapNotNull { part ->
            state.lastAnswerMs(part)?.let { SoundPart(part, (nowMs - it).coerceAtLeast(0)) }
        }
    }

    /** Puts [next] in force, and logs what it concludes about [touched] parts and culprits. */
    private fun update(next: CrashingParts, touched: Collection<String>, source: String) {
        val before = state
        state = next
        if (next.evidence === before.evidence) return
        (next.culprits - before.culprits).forEach { log.quarantined(it, engines(next, it), source) }
        (before.culprits - next.culprits).forEach { log.cleared(it, engines(before, it), source) }
        (touched - before.culprits - next.culprits).forEach { part ->
            val crashesBefore = before.evidence[part]?.size ?: 0
            val crashes = next.evidence[part]?.size ?: 0
            if (crashesBefore < SUSPECT_CRASHES && crashes >= SUSPECT_CRASHES) {
                log.suspected(part, engines(next, part), source)
            } else if (crashesBefore >= SUSPECT_CRASHES && crashes < SUSPECT_CRASHES) {
                log.cleared(part, engines(before, part), source)
            }
        }
    }

    private fun engines(state: CrashingParts, part: String): List<String> =
        state.evidence[part].orEmpty().keys.map { it.upstreamId }

    private companion object {
        /** Crashes that one request may meet before it is no longer retried. */
        const val MAX_CRASHES_MET = 2

        /** Crashes from which on a part is logged as suspected: with one, each cut request would have its own line. */
        const val SUSPECT_CRASHES = 2

        /** Collects the requests that one crash has cut. */
        const val TELL_DELAY_MS = 20L

        /** With this interval and some processes told each time, thirty processes know within two seconds. */
        const val REPEAT_INTERVAL_MS = 500L

        /** Evidence of a single crash is repeated for this time. */
        const val RECENT_MS = 10_000L
        const val MAX_PARTS_TOLD = 8
        const val MAX_CRASHES_TOLD = 6
        const val MAX_SOUND_TOLD = 24
    }
}
