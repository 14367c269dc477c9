package org.medlarhook.serving.duty.simulation

import org.medlarhook.core.serving.usage.StoreClockSample
import org.medlarhook.serving.process.StoreEra

/**
 * The outward calls of one process, which take simulated time and may fail on the way there or back.
 *
 * A call that has left the machine is performed even if the process is killed or suspended meanwhile. The highest era
 * of any answer is remembered, as the adapter of the store does.
 */
internal class SimCalls(
    private val simulation: UsageReporterSimulation,
    val process: SimProcess,
) : StoreEra {
    private val world = simulation.world
    private val store = simulation.store
    private val platform = simulation.platform
    private val vm = process.vm
    private val random = world.random

    override var current: Long? = null
        private set

    /** The clock of the store in the latest answer to a read, as the adapter of the store keeps it. */
    var latestClock: StoreClockSample? = null
        private set

    /** An answer of the store, which gave it in [era] when its clock stood at [storeMs]; no era while it is away. */
    private class Reply<T>(
        val value: T,
        val era: Long?,
        val storeMs: Long = 0,
    )

    /** A call of the store, performed by [perform]; [refused] is the answer of a store that is down. */
    fun <T> store(call: SimCall, refused: T, perform: () -> T): T? {
        val sentAtMs = vm.monotonicMs()
        val reply =
            outward<Reply<T>>(call, { store.faultFor(vm) == StoreFault.SLOW }, isToPlatform = false) { answer ->
                val fault = store.faultFor(vm)
                val isAnswered = fault != StoreFault.LOSES_ANSWERS || random.nextBoolean()
                when {
                    store.isAway -> answer(Reply(refused, era = null))
                    fault == StoreFault.DOWN -> answer(Reply(refused, store.era, store.currentMs))
                    fault == StoreFault.PERFORMS_LATE && random.nextBoolean() ->
                        world.after(random.nextLong(1_000, 6_000)) { if (!store.isAway) perform() }
                    else -> perform().let { if (isAnswered) answer(Reply(it, store.era, store.currentMs)) }
                }
            } ?: return null
        val era = reply.era ?: return reply.value
        if (call == SimCall.READ || call == SimCall.CLOCK_READ) observeClock(reply.storeMs, sentAtMs, era)
        return reply.value.takeIf { observe(era) }
    }

    /** Delivers a report if [isPermitted] holds once there is a connection, and returns true if that is confirmed. */
    fun report(
        window: Long,
        counts: Map<String, Long>,
        holder: String,
        fencingToken: Long,
        isPermitted: () -> Boolean,
    ): Boolean? {
        simulation.lastReporter = vm
        if (random.nextInt(CALLS_A_CONNECTION) == 0) process.pauseFor(random.nextLong(CONNECT_TIMEOUT_MS))
        if (!isPermitted()) return false
        return outward<Boolean>(SimCall.REPORT, { platform.fault == PlatformFault.SLOW }, true) { answer ->
            val fault = platform.fault
            if (fault != PlatformFault.DOWN) {
                platform.accept(window, counts, vm, holder, fencingToken)
                simulation.trace { "platform gets window $window $counts from ${process.name} with $fencingToken" }
            }
            if (fault != PlatformFault.LOSES_ANSWERS || random.nextBoolean()) answer(fault != PlatformFault.DOWN)
        }
    }

    private fun <T : Any> outward(
        call: SimCall,
        isSlow: () -> Boolean,
        isToPlatform: Boolean,
        arrive: (answer: (T) -> Unit) -> Unit,
    ): T? {
        process.awaitRunning()
        simulation.reached(CallMoment(call, CallPhase.LEAVING))
        process.awaitRunning()
        val startedAtMs = world.nowMs
        val arrivesInMs = latencyMs(isSlow())
        val answersInMs = latencyMs(false)
        var reply: T? = null
        world.after(arrivesInMs) {
            if (!vm.link.passesRequest(isToPlatform)) return@after
            arrive { answer ->
                world.after(answersInMs) {
                    if (vm.link.passesAnswer(isToPlatform)) {
                        reply = answer
                    }
                }
            }
            simulation.reached(CallMoment(call, CallPhase.PERFORMED))
        }
        val expectedMs = minOf(arrivesInMs + answersInMs + 1, TIMEOUT_MS)
        process.pauseFor(expectedMs)
        if (reply == null) process.pauseFor(TIMEOUT_MS - expectedMs)
        val isTimedOut = world.nowMs - startedAtMs > TIMEOUT_MS && random.nextBoolean()
        return reply.takeUnless { isTimedOut }
    }

    /** Learns the era and the clock as the feeds do, which read from the store all the time. */
    fun followEra(sentAtMs: Long = vm.monotonicMs()) {
        if (process.isEnded) return
        val isReachable = vm.link.passesRequest(false) && vm.link.passesAnswer(false) && !vm.isSuspended
        if (isReachable && !store.isAway && store.faultFor(vm) == null) {
            observeClock(store.currentMs, sentAtMs, store.era)
            observe(store.era)
        }
        val nextSentAtMs = vm.monotonicMs()
        world.after(random.nextLong(FEED_MS)) { followEra(nextSentAtMs) }
    }

    private fun observeClock(storeMs: Long, sentAtMs: Long, era: Long) {
        val before = latestClock
        if (before != null && (before.era > era || before.sentAtMs > sentAtMs)) return
        latestClock = StoreClockSample(storeMs, sentAtMs, vm.monotonicMs(), era)
    }

    private fun observe(era: Long): Boolean {
        val before = current ?: -1
        if (era > before) {
            current = era
            simulation.trace { "${process.name} learns of era $era" }
        }
        return era >= before
    }

    private fun latencyMs(isSlow: Boolean): Long =
        when {
            isSlow -> random.nextLong(LATENCY_MS, SLOWEST_MS)
            vm.isLossy -> RETRANSMITTED_MS.random(random) + random.nextLong(1, LATENCY_MS)
            else -> random.nextLong(1, LATENCY_MS)
        }

    private companion object {
        /** The time-out of calls in the adapter. */
        const val TIMEOUT_MS = 800L
        const val CONNECT_TIMEOUT_MS = 500L
        const val CALLS_A_CONNECTION = 4
        const val SLOWEST_MS = 1_500L
        const val LATENCY_MS = 8L

        /** Delays of a packet that was lost, and retransmitted, not at all to three times. */
        val RETRANSMITTED_MS = listOf(0L, 0L, 0L, 200L, 600L, 1_400L)
        const val FEED_MS = 1_500L
    }
}
