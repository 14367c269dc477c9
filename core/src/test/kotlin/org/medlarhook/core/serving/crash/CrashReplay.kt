package org.medlarhook.core.serving.crash

import org.medlarhook.core.serving.fleet.Incarnation
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Replays requests of several processes at engines that crash, with each process's own [CrashEvidence] and datagrams
 * that may be lost.
 *
 * @param suspectsOf what a crash under a request is put down to, or null for processes that observe nothing.
 * @param massCrashAtMs when all engines crash at once, or null.
 * @param badFromMs when requests with the bad part begin.
 */
internal class CrashReplay(
    seed: Int,
    private val workload: CrashWorkload = BadPart(),
    private val suspectsOf: ((CrashCall) -> List<Suspect>)? = { wholeAndParts(it) },
    private val lossShare: Double = 0.3,
    private val badPerS: Double = 5.0,
    private val badFromMs: Long = 5_000,
    private val massCrashAtMs: Long? = null,
    private val lateProcessAtMs: Long = 0,
) {
    private val random = Random(seed)
    private val isObserved = suspectsOf != null
    private val states = Array(PROCESSES) { CrashEvidence(holdSpread = random.nextDouble()) }
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private val startedAtMs = LongArray(workload.engines)
    private val running = Array(workload.engines) { LinkedHashSet<Request>() }
    private var order = 0L
    private var nowMs = 0L

    val badArrivalsMs = ArrayList<Long>()
    val crashesMs = ArrayList<Long>()

    /** Those of [crashesMs] that a request with the bad part caused. */
    val badCrashesMs = ArrayList<Long>()
    var soundSent = 0
    var soundServed = 0
    var soundRefused = 0

    /** By suspect, when sound requests were refused for it. */
    val refusalsMs = HashMap<Suspect, ArrayList<Long>>()

    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private inner class Request(val process: Int, val call: CrashCall) {
        val suspects = suspectsOf?.invoke(call).orEmpty()
        val isBad = call.isBad
        var crashesMet = 0
        var isProbe = false
    }

    private fun at(atMs: Long, action: () -> Unit) {
        events += Event(atMs, order++, action)
    }

    private fun isRunning(process: Int) = process != LATE_PROCESS || nowMs >= lateProcessAtMs

    fun run(): CrashReplay {
        arrivals(workload.soundPerS, 0) { sound() }
        arrivals(badPerS, badFromMs) { bad() }
        massCrashAtMs?.let { at(it) { repeat(workload.engines) { engine -> crash(engine) } } }
        repeat(PROCESSES) { process -> at(random.nextLong(REPEAT_MS)) { repeatEvidence(process) } }
        while (events.isNotEmpty() && events.peek().atMs < END_MS) {
            val event = events.remove()
            nowMs = event.atMs
            event.action()
        }
        return this
    }

    private fun arrivals(perS: Double, fromMs: Long, begin: () -> Unit) {
        if (perS <= 0) return
        at(fromMs + (-Math.log(1 - random.nextDouble()) * 1_000 / perS).toLong()) {
            begin()
            arrivals(perS, nowMs, begin)
        }
    }

    private fun anyProcess(): Int = (0..<PROCESSES).filter { isRunning(it) }.random(random)

    private fun sound() {
        soundSent++
        send(Request(anyProcess(), workload.sound(random)))
    }

    private fun bad() = send(Request(anyProcess(), workload.bad(random)))

    private fun send(request: Request) {
        if (isObserved) {
            val state = states[request.process]
            val awaited = if (request.isProbe) null else state.awaitedProbe(request.suspects, nowMs)
            val suspect = state.refusedFor(request.suspects, nowMs) ?: awaited
            if (suspect == null && state.culprits.isNotEmpty()) {
                states[request.process] = state.probed(request.suspects, nowMs)
                request.isProbe = true
            }
            if (suspect != null) {
                if (!request.isBad) {
                    soundRefused++
                    refusalsMs.getOrPut(suspect) { ArrayList() } += nowMs
                }
                return
            }
        }
        val engine = (0..<workload.engines).filter { startedAtMs[it] <= nowMs }.ifEmpty { return }.random(random)
        if (request.isBad) badArrivalsMs += nowMs
        running[engine] += request
        val incarnation = startedAtMs[engine]
        at(nowMs + if (request.isBad) CRASH_MS else ANSWER_MS) {
            if (startedAtMs[engine] == incarnation && request in running[engine]) {
                when {
                    request.isBad -> badCrash(engine)
                    random.nextDouble() < workload.answerLossShare -> cut(listOf(request), engine, incarnation)
                    else -> answered(request, engine)
                }
            }
        }
    }

    private fun answered(request: Request, engine: Int) {
        running[engine] -= request
        soundServed++
        val state = states[request.process]
        val accused = request.suspects.filter { it in state.evidence }
        states[request.process] = state.succeeded(request.suspects, nowMs)
        if (accused.isNotEmpty()) others(request.process).forEach { tellSound(accused, it) }
    }

    private fun badCrash(engine: Int) {
        badCrashesMs += nowMs
        crash(engine)
    }

    private fun crash(engine: Int) {
        val crashedStartMs = startedAtMs[engine]
        crashesMs += nowMs
        startedAtMs[engine] = nowMs + RESTART_MS
        cut(running[engine].toList(), engine, crashedStartMs)
    }

    private fun cut(cut: List<Request>, engine: Int, startMs: Long) {
        val incarnation = Incarnation("engine-$engine", startMs)
        running[engine] -= cut.toSet()
        cut.forEach { request ->
            val process = request.process
            states[process] = states[process].crashed(request.suspects, incarnation, nowMs)
            others(process).forEach { tellEvidence(process, request.suspects, it) }
        }
        cut.forEach { request ->
            request.crashesMet++
            val mayRetry = request.crashesMet < workload.maxAttempts &&
                (!isObserved || request.crashesMet < 2 || !states[request.process].hasSuspect(request.suspects))
            if (mayRetry) at(nowMs + 1) { send(request) }
        }
    }

    private fun others(process: Int): List<Int> = (0..<PROCESSES).filter { it != process && isRunning(it) }

    private fun repeatEvidence(process: Int) {
        states[process] = states[process].prune(nowMs)
        val strongest = states[process].evidence.entries.sortedByDescending { it.value.size }.take(8).map { it.key }
        if (strongest.isNotEmpty()) {
            others(process).shuffled(random).take(3).forEach {
                tellEvidence(process, strongest, it)
            }
        }
        at(nowMs + REPEAT_MS) { repeatEvidence(process) }
    }

    private fun tellEvidence(from: Int, suspects: List<Suspect>, to: Int) {
        val told = suspects.mapNotNull { suspect -> states[from].evidence[suspect]?.let { suspect to it } }
        datagram {
            told.forEach { (suspect, crashes) ->
                if (crashes.any { states[to].refutes(suspect, it.value) }) tellSound(listOf(suspect), from, to)
                crashes.forEach { (incarnation, atMs) ->
                    states[to] = states[to].crashed(listOf(suspect), incarnation, atMs)
                }
            }
        }
    }

    private fun tellSound(suspects: List<Suspect>, to: Int, from: Int? = null) {
        val times = suspects.map { suspect -> suspect to (from?.let { states[it].lastAnswerMs(suspect) } ?: nowMs) }
        datagram { times.forEach { (suspect, atMs) -> states[to] = states[to].succeeded(listOf(suspect), atMs) } }
    }

    private fun datagram(receive: () -> Unit) {
        if (isObserved && random.nextDouble() >= lossShare) at(nowMs + random.nextLong(20, 60), receive)
    }

    companion object {
        const val PROCESSES = 12
        const val LATE_PROCESS = PROCESSES - 1
        const val END_MS = 40_000L
        const val CONTACT_MS = 4_000L
        private const val ANSWER_MS = 300L
        private const val CRASH_MS = 40L
        private const val RESTART_MS = 4_000L
        private const val REPEAT_MS = 500L

        fun wholeAndParts(call: CrashCall): List<Suspect> =
            listOf(Suspect.Request(call.content)) + call.parts.map { Suspect.Part(it) }
    }
}
