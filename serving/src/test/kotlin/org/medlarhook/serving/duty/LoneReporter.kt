package org.medlarhook.serving.duty

import arrow.core.Either
import arrow.core.right
import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.core.serving.usage.StoreClockSample
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.core.serving.usage.WindowCounts
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.duty.simulation.UsageReporterSimulation
import org.medlarhook.serving.process.StoreEra

/** A usage reporter alone with a store, on clocks that advance by hand. */
internal class LoneReporter {
    val world = ManualTimeSource()
    var suspendedMs = 0L
    private val time = object : TimeSource {
        override fun monotonicMs(): Long = world.monotonicMs() - suspendedMs

        override fun wallMs(): Long = world.wallMs() - suspendedMs
    }
    private val clock = object : StoreClock {
        override fun readMs(): Long = world.monotonicMs()

        override fun latest() = StoreClockSample(world.monotonicMs(), time.monotonicMs(), time.monotonicMs())
    }
    val tables = InMemoryTableService()

    /** The outcome of each delivery. */
    var outcome: Either<String, Unit> = Unit.right()
    var deliveries = 0
        private set
    private val reporting = object : WindowReporting {
        override fun deliver(
            window: Long,
            countByWorkspace: Map<String, Long>,
            holder: String,
            fencingToken: Long,
            isPermitted: () -> Boolean,
        ): Either<String, Unit> = outcome.also { deliveries++ }
    }

    class Requests : RequestUsage {
        var usage = UsageWindows(UsageReporterSimulation.BOUNDS.usageWindowMs)
        var suspensions = 0

        override fun read(): UsageWindows = usage

        override fun update(change: (UsageWindows) -> UsageWindows) {
            usage = change(usage)
        }

        override fun onSuspended() {
            suspensions++
        }

        override fun peerAddress(): String? = null

        override fun onProcessesRead(counts: WindowCounts, share: ProcessShare?) = Unit
    }

    val requests = Requests()
    private val era = object : StoreEra {
        override val current: Long = 0
    }
    val reporter =
        UsageReporter(
            "a#1",
            requests,
            tables,
            clock,
            reporting,
            UsageReporterSimulation.BOUNDS,
            time,
            era,
        )

    fun run(steps: Int) =
        repeat(steps) {
            reporter.step()
            world.advance(500)
        }
}
