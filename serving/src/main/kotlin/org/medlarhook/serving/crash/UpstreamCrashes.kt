package org.medlarhook.serving.crash

import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.crash.CrashEvidence
import org.medlarhook.core.serving.crash.Suspect
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.ports.TimeSource
import kotlin.random.Random

/**
 * Observes which requests and prompt parts crash upstreams, refuses requests for it, and tells the other processes.
 * Used on the event loop only.
 *
 * All processes are told of a crash at once. A datagram may be lost and a process may start later, so what is known is
 * repeated to a few processes while it matters.
 *
 * @param isLeaving true if the end of an upstream was expected.
 * @param schedule runs a task on the event loop after some milliseconds.
 */
internal class UpstreamCrashes(
    private val time: TimeSource,
    private val log: CrashLog,
    private val isLeaving: (Upstream) -> Boolean,
    private val schedule: (Long, () -> Unit) -> Unit,
) {
    private var state = CrashEvidence(holdSpread = Random.nextDouble())
    private val untoldCrashed = LinkedHashSet<Suspect>()
    private val untoldSound = LinkedHashSet<Suspect>()
    private var isTellingScheduled = false
    private var nextRepeatAtMs = 0L

    /** The other processes. */
    var peers: CrashPeers = NoCrashPeers

    /** What requests are refused for, for state dumps. */
    val quarantined: List<Suspect>
        get() = time.monotonicMs().let { nowMs -> state.culprits.filter { state.isQuarantined(it, nowMs) } }

    /** Records that [upstream] closed the connection while it answered [subject]. */
    fun connectionLost(subject: CrashSubject, upstream: Upstream) {
        if (isLeaving(upstream)) return
        val suspects = subject.all
        update(state.crashed(suspects, upstream.incarnation, time.monotonicMs()), suspects, "own")
        tell(crashed = suspects.filter { it in state.evidence })
    }

    /** Records a complete answer on [subject]. */
    fun answered(subject: CrashSubject) {
        val suspects = if (state.hasSuspectedRequests) subject.all else subject.parts
        if (suspects.isEmpty()) return
        val accused = suspects.filter { it in state.evidence }
        update(state.succeeded(suspects, time.monotonicMs()), accused, "own")
        if (accused.isNotEmpty()) tell(sound = accused)
    }

    /** True if [subject] or a part of it is quarantined, so that it must not be sent to an upstream. */
    fun isQuarantined(subject: CrashSubject): Boolean = quarantinedSuspect(subject) != null

    /**
     * Logs and counts that [subject] is refused, and returns the reason. Returns null if it may be sent, at the end of
     * a quarantine as a probe.
     */
    fun refusalOf(subject: CrashSubject): ResultCode? {
        if (state.culprits.isEmpty()) return null
        val nowMs = time.monotonicMs()
        val awaitedProbe = if (subject.isProbe) null else state.awaitedProbe(subject.all, nowMs)
        val suspect = quarantinedSuspect(subject) ?: awaitedProbe
        if (suspect == null) {
            state = state.probed(subject.all, nowMs)
            subject.isProbe = true
            return null
        }
        log.refused(suspect, nowMs)
        return when (suspect) {
            is Suspect.Request -> ResultCode.REQUEST_QUARANTINED
            is Suspect.Part -> ResultCode.PROMPT_PART_QUARANTINED
        }
    }

    /** True if [subject], under which [crashesMet] upstreams have crashed, must not be sent to another one. */
    fun forbidsRetry(subject: CrashSubject, crashesMet: Int): Boolean =
        isQuarantined(subject) || crashesMet >= MAX_CRASHES_MET && state.hasSuspect(subject.all)

    private fun quarantinedSuspect(subject: CrashSubject): Suspect? =
        if (state.culprits.isEmpty()) null else state.refusedFor(subject.all, time.monotonicMs())

    /** Takes over what another process has told; returns what it should be told in turn, or null. */
    fun told(report: CrashReport): CrashReport? {
        val nowMs = time.monotonicMs()
        val refuted = LinkedHashSet<Suspect>()
        report.crashed.forEach { told ->
            val suspect = told.suspect
            told.crashes.forEach { crash ->
                val atMs = nowMs - crash.ageMs
                if (state.refutes(suspect, atMs)) refuted += suspect
                val incarnation = Incarnation(crash.upstreamId, crash.startedAtMs)
                update(state.crashed(listOf(suspect), incarnation, atMs), listOf(suspect), "peer")
            }
        }
        report.sound.forEach { told ->
            update(state.succeeded(listOf(told.suspect), nowMs - told.ageMs), listOf(told.suspect), "peer")
        }
        val answer = CrashReport(if (report.isQuestion) strongestEvidence() else emptyList(), soundOf(refuted))
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

    private fun tell(crashed: Collection<Suspect> = emptyList(), sound: Collection<Suspect> = emptyList()) {
        untoldCrashed += crashed
        untoldSound += sound
        if (isTellingScheduled || untoldCrashed.isEmpty() && untoldSound.isEmpty()) return
        isTellingScheduled = true
        schedule(TELL_DELAY_MS) { tellAll() }
    }

    private fun tellAll() {
        isTellingScheduled = false
        val report = CrashReport(evidenceOf(untoldCrashed), soundOf(untoldSound))
        untoldCrashed.clear()
        untoldSound.clear()
        peers.tell(report)
    }

    /** The evidence that still matters to others: of several crashes, or of recent ones. */
    private fun strongestEvidence(): List<CrashedSuspect> {
        val nowMs = time.monotonicMs()
        return evidenceOf(
            state.evidence.filterValues { crashes ->
                crashes.size > 1 || crashes.values.any { nowMs - it < RECENT_MS }
            }.keys,
        )
    }

    /** The evidence against [suspects]; if there are many, against those with most of it, and requests first. */
    private fun evidenceOf(suspects: Collection<Suspect>): List<CrashedSuspect> {
        val nowMs = time.monotonicMs()
        return suspects
            .mapNotNull { suspect -> state.evidence[suspect]?.let { suspect to it } }
            .sortedWith(
                compareByDescending<Pair<Suspect, Map<*, *>>> {
                    it.second.size
                }.thenBy { it.first is Suspect.Part },
            )
            .take(MAX_CRASHED_TOLD)
            .map { (suspect, crashes) ->
                val newest = crashes.entries.sortedByDescending { it.value }.take(MAX_CRASHES_TOLD)
                CrashedSuspect.of(
                    suspect,
                    newest.map { (upstream, atMs) ->
                        UpstreamCrash(upstream.upstreamId, upstream.startedAtMs, nowMs - atMs)
                    },
                )
            }
    }

    private fun soundOf(suspects: Collection<Suspect>): List<SoundSuspect> {
        val nowMs = time.monotonicMs()
        return suspects.take(MAX_SOUND_TOLD).mapNotNull { suspect ->
            state.lastAnswerMs(suspect)?.let { SoundSuspect.of(suspect, (nowMs - it).coerceAtLeast(0)) }
        }
    }

    /** Puts [next] in force, and logs what it concludes about [touched] suspects and culprits. */
    private fun update(next: CrashEvidence, touched: Collection<Suspect>, source: String) {
        val before = state
        state = next
        if (next.evidence === before.evidence) return
        (next.culprits - before.culprits).forEach { log.quarantined(it, upstreams(next, it), source) }
        (before.culprits - next.culprits).forEach { log.cleared(it, upstreams(before, it), source) }
        (touched - before.culprits - next.culprits).forEach { suspect ->
            val crashesBefore = before.evidence[suspect]?.size ?: 0
            val crashes = next.evidence[suspect]?.size ?: 0
            if (crashesBefore < SUSPECT_CRASHES && crashes >= SUSPECT_CRASHES) {
                log.suspected(suspect, upstreams(next, suspect), source)
            } else if (crashesBefore >= SUSPECT_CRASHES && crashes < SUSPECT_CRASHES) {
                log.cleared(suspect, upstreams(before, suspect), source)
            }
        }
    }

    private fun upstreams(state: CrashEvidence, suspect: Suspect): List<String> =
        state.evidence[suspect].orEmpty().keys.map { it.upstreamId }

    private companion object {
        /** Crashes that one request may meet before it is no longer retried. */
        const val MAX_CRASHES_MET = 2

        /** Crashes from which on a suspect is logged: with one, each cut request would have its own line. */
        const val SUSPECT_CRASHES = 2

        /** Collects the requests that one crash has cut. */
        const val TELL_DELAY_MS = 20L

        /** With this interval and some processes told each time, thirty processes know within two seconds. */
        const val REPEAT_INTERVAL_MS = 500L

        /** Evidence of a single crash is repeated for this time. */
        const val RECENT_MS = 10_000L

        /** As many as the requests of one process that a crash cuts, with their parts. */
        const val MAX_CRASHED_TOLD = 32
        const val MAX_CRASHES_TOLD = 6
        const val MAX_SOUND_TOLD = 24
    }
}
