package org.medlarhook.harness.bench

import org.medlarhook.harness.Binaries
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.OperatorsCli
import org.medlarhook.harness.Readiness
import org.medlarhook.harness.fleetPlan
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.io.path.listDirectoryEntries

/** Measures the latency that one entry adds to an engine call, and the tokens per second that it relays. */
internal class RelayBench(
    private val binaries: Binaries,
    private val configuration: Path,
) {
    /** Starts the fleet, runs both measurements and prints the results. */
    fun run() {
        Fleet.start(binaries, PLAN).use { fleet ->
            Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
            val entry = fleet.entries.first()
            Readiness.await("${entry.operatorsUrl}/healthz")
            val operators = OperatorsCli(binaries, entry.operatorsUrl)
            val overlays = configuration.resolve("sites").listDirectoryEntries("*.json").sorted()
            Thread.sleep(WRITE_PERMIT_WAIT_MS)
            operators.applyConfig(configuration.resolve("base.json"), overlays)
            val caller = BenchCaller(entry.url, operators.grantKey(WORKSPACE).key, MODEL)
            fleet.upstreams.forEach { it.awaitReady() }
            entry.awaitReady()
            Readiness.until("the entry did not serve the model") { caller.isServing() }
            measureLatency(caller, fleet.upstreams.map { it.backendUrl })
            measureThroughput(caller, entry.process.pid)
        }
    }

    /** Alternates direct and relayed calls, so that both run under the same load of the host. */
    private fun measureLatency(caller: BenchCaller, engines: List<String>) {
        repeat(WARM_UP_CALLS) {
            caller.callEngine(engines[it % engines.size])
            caller.callEntry(tokens = 1)
        }
        val direct = LongArray(LATENCY_CALLS)
        val relayed = LongArray(LATENCY_CALLS)
        repeat(LATENCY_CALLS) {
            direct[it] = timed { caller.callEngine(engines[it % engines.size]) }
            relayed[it] = timed { caller.callEntry(tokens = 1) }
        }
        val directFigures = Percentiles.of(direct)
        val relayedFigures = Percentiles.of(relayed)
        println("latency direct   $directFigures")
        println("latency relayed  $relayedFigures")
        println("latency added    ${relayedFigures.minus(directFigures)}")
    }

    /** Also measures processor time per token, because tokens per second depend on the other load of the host. */
    private fun measureThroughput(caller: BenchCaller, entryPid: Long) {
        relayRound(caller)
        repeat(ROUNDS) {
            val beforeUs = cpuUs(entryPid)
            val tokensPerS = relayRound(caller)
            val usPerToken = (cpuUs(entryPid) - beforeUs).toDouble() / (STREAMS * STREAM_TOKENS)
            println(
                "throughput       $tokensPerS tokens/s, entry's processor time ${"%.1f".format(usPerToken)} us a token",
            )
        }
    }

    private fun cpuUs(pid: Long): Long =
        ProcessHandle
            .of(pid)
            .flatMap { it.info().totalCpuDuration() }
            .map { it.toNanos() / NANOS_PER_US }
            .orElse(0)

    private fun relayRound(caller: BenchCaller): Long {
        val pool = Executors.newFixedThreadPool(STREAMS)
        val startNanos = System.nanoTime()
        val streams = List(STREAMS) { Callable { caller.callEntry(STREAM_TOKENS) } }
        val completeStreams = pool.invokeAll(streams).count { it.get() }
        val durationNanos = System.nanoTime() - startNanos
        pool.shutdown()
        check(completeStreams == STREAMS) { "only $completeStreams of $STREAMS streams were complete" }
        return STREAMS.toLong() * STREAM_TOKENS * NANOS_PER_S / durationNanos
    }

    private fun timed(call: () -> Boolean): Long {
        val startNanos = System.nanoTime()
        check(call()) { "a measured call failed or its stream was incomplete" }
        return System.nanoTime() - startNanos
    }

    private companion object {
        const val MODEL = "lamp-assistant"
        const val WORKSPACE = "franchise-valle-1"
        const val UNLIMITED_TOKENS_PER_S = 1e9
        const val ENGINES = 4
        const val SLOTS = 32
        const val WARM_UP_CALLS = 1_000
        const val LATENCY_CALLS = 2_000
        const val STREAMS = 64
        const val STREAM_TOKENS = 1_000
        const val ROUNDS = 3
        const val WRITE_PERMIT_WAIT_MS = 5_000L
        const val NANOS_PER_S = 1_000_000_000L
        const val NANOS_PER_US = 1_000L
        val PLAN =
            fleetPlan {
                dataCentre("valle-central-1", "valle-central") {
                    engines(MODEL, ENGINES, SLOTS, UNLIMITED_TOKENS_PER_S, UNLIMITED_TOKENS_PER_S)
                    entries(1)
                }
            }
    }
}
