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
import kotlin.test.Test
import kotlin.test.assertEquals

/** A suspension during which the wall clock was set back by as much, so that only the store's clock shows it. */
class HiddenSuspensionTest {
    private val world = ManualTimeSource()
    private var suspendedMs = 0L
    private val time = object : TimeSource {
        override fun monotonicMs(): Long = world.monotonicMs() - suspendedMs

        override fun wallMs(): Long = world.wallMs() - suspendedMs
    }
    private val clock = object : StoreClock {
        override fun readMs(): Long = world.monotonicMs()

        override fun latest() = StoreClockSample(world.monotonicMs(), time.monotonicMs(), time.monotonicMs())
    }
    private val reporting = object : WindowReporting {
        override fun deliver(
            window: Long,
            countByWorkspace: Map<String, Long>,
            holder: String,
            fencingToken: Long,
            isPermitted: () -> Boolean,
        ): Either<String, Unit> = Unit.right()
    }

    private class Requests : RequestUsage {
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

    private val requests = Requests()
    private val era = object : StoreEra {
        override val current: Long = 0
    }
    private val reporter =
        UsageReporter(
            "a#1",
            requests,
            InMemoryTableService(),
            clock,
            reporting,
            UsageReporterSimulation.BOUNDS,
            time,
            era,
        )

    private fun run(steps: Int) =
        repeat(steps) {
            reporter.step()
            world.advance(500)
        }

    @Test
    fun `Given a suspension that the wall clock hides, then the requests' windows go on and the process is told`() {
        run(steps = 4)
        val offsetMs = requests.usage.offsetMs!!
        assertEquals(0, requests.suspensions)
        suspendedMs = 6_000
        world.advance(6_000)
        run(steps = 4)

        assertEquals(1, requests.suspensions)
        assertEquals(offsetMs + 6_000, requests.usage.offsetMs)
    }
}
