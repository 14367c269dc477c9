package org.medlarhook.core.serving.crash

import org.medlarhook.core.serving.fleet.Incarnation
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Replays requests of several processes at engines that crash, with each process's own [CrashingParts] and datagrams
 * that may be lost.
 *
 * @param isObserved false for processes that know nothing of prompt parts.
 * @param massCrashAtMs when all engines crash at once, or null.
 * @param badFromMs when requests with the bad part begin.
 */
internal class CrashReplay(
    seed: Int,
    private val isObserved: Boolean = true,
    private val lossShare: Double = 0.3,
    private val badPerS: Double = 5.0,
    private val badFromMs: Long = 5_000,
    private val massCrashAtMs: Long? = null,
    private val lateProcessAtMs: Long = 0,
) {
    private val random = Random(seed)
    private val states = Array(PROCESSES) { CrashingParts() }
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private val startedAtMs = LongArray(ENGINES)
    private val running = Array(ENGINES) { HashSet<Request>() }
    private var order = 0L
    private var nowMs = 0L

    val badArrivalsMs = ArrayList<Long>()
    val crashesMs = ArrayList<Long>()

    /** Those of [crashesMs] that a request with the bad part caused. */
    val badCrashesMs = ArrayList<Long>()
    var soundSent = 0
    var soundServed = 0
    var soundRefused = 0

    /** By sound part, when requests with it were refused. */
    val refusalsMs = HashMap<String, ArrayList<Long>>()

    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private class Request(val process: Int, val parts: List<String>, val isBad: Boolean) {
        var crashesMet = 0
    }

    private fun at(atMs: Long, action: () -> Unit) {
        events += Event(atMs, order++, action)
    }

    private fun isRunning(process: Int) = process != LATE_PROCESS || nowMs >= lateProcessAtMs

    fun run(): CrashReplay {
        arrivals(SOUND_PER_S, 0) { sound() }
        arrivals(badPerS, badFromMs) { bad() }
        massCrashAtMs?.let { at(it) { repeat(ENGINES) { engine -> crash(engine) } } }
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
        val session = "session-${random.nextInt(SESSIONS)}"
        send(Request(anyProcess(), listOf("system", "tenant-${random.nextInt(TENANTS)}", session), isBad = false))
    }

    private fun bad() {
        val tenant = "tenant-${random.nextInt(TENANTS)}"
        send(Request(anyProcess(), listOf("system", tenant, BAD, "own-${order++}"), isBad = true))
    }

    private fun send(request: Request) {
        if (isObserved) {
            val part = states[request.process].refusedFor(request.parts, nowMs)
            if (part != null) {
                if (!request.isBad) {
                    soundRefused++
                    refusalsMs.getOrPut(part) { ArrayList() } += nowMs
                }
                return
            }
        }
        val engine = (0..<ENGINES).filter { startedAtMs[it] <= nowMs }.ifEmpty { return }.random(random)
        if (request.isBad) badArrivalsMs += nowMs
        running[engine] += request
        val incarnation = startedAtMs[engine]
        at(nowMs + if (request.isBad) CRASH_MS else ANSWER_MS) {
            if (startedAtMs[engine] == incarnation && request in running[engine]) {
                if (request.isBad) badCrash(engine) else answered(request, engine)
            }
        }
    }

    private fun answered(request: Request, engine: Int) {
        running[engine] -= request
        soundServed++
        val state = states[request.process]
        val accused = request.parts.filter { it in state.evidence }
        states[request.process] = state.succeeded(request.parts, nowMs)
        if (accused.isNotEmpty()) others(request.process).forEach { tellSound(accused, it) }
    }

    private fun badCrash(engine: Int) {
        badCrashesMs += nowMs
        crash(engine)
    }

    private fun crash(engine: Int) {
        val incarnation = Incarnation("engine-$engine", startedAtMs[engine])
        crashesMs += nowMs
        startedAtMs[engine] = nowMs + RESTART_MS
        val cut = running[engine].toList()
        running[engine].clear()
        cut.forEach { request ->
            val process = request.process
            states[process] = states[process].crashed(request.parts, incarnation, nowMs)
            others(process).forEach { tellEvidence(process, request.parts, it) }
        }
        cut.forEach { request ->
            request.crashesMet++
            val mayRetry = request.crashesMet < MAX_ATTEMPTS &&
                (!isObserved || request.crashesMet < 2 || !states[request.process].hasSuspect(request.parts))
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

    private fun tellEvidence(from: Int, parts: List<String>, to: Int) {
        val told = parts.mapNotNull { part -> states[from].evidence[part]?.let { part to it } }
        datagram {
            told.forEach { (part, crashes) ->
                if (crashes.any { states[to].refutes(part, it.value) }) tellSound(listOf(part), from, to)
                crashes.forEach { (incarnation, atMs) ->
                    states[to] = states[to].crashed(listOf(part), incarnation, atMs)
                }
            }
        }
    }

    private fun tellSound(parts: List<String>, to: Int, from: Int? = null) {
        val times = parts.map { part -> part to (from?.let { states[it].lastAnswerMs(part) } ?: nowMs) }
        datagram { times.forEach { (part, atMs) -> states[to] = states[to].succeeded(listOf(part), atMs) } }
    }

    private fun datagram(receive: () -> Unit) {
        if (isObserved && random.nextDouble() >= lossShare) at(nowMs + random.nextLong(20, 60), receive)
    }

    companion object {
        const val PROCESSES = 12
        const val LATE_PROCESS = PROCESSES - 1
        const val END_MS = 40_000L
        const val CONTACT_MS = 4_000L
        private const val BAD = "bad"
        private const val ENGINES = 40
        private const val TENANTS = 5
        private const val SESSIONS = 400
        private const val SOUND_PER_S = 200.0
        private const val MAX_ATTEMPTS = 3
        private const val ANSWER_MS = 300L
        private const val CRASH_MS = 40L
        private const val RESTART_MS = 4_000L
        private const val REPEAT_MS = 500L
    }
}
