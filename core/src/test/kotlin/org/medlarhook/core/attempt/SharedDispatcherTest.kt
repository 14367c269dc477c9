package org.medlarhook.core.attempt

import org.jetbrains.kotlinx.lincheck.annotations.Operation
import org.jetbrains.kotlinx.lincheck.annotations.Param
import org.jetbrains.kotlinx.lincheck.check
import org.jetbrains.kotlinx.lincheck.paramgen.StringGen
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions
import org.medlarhook.core.fairness.FairQueue
import kotlin.test.Test
import kotlin.test.assertFails

private fun dispatcher() =
    AttemptDispatcher<String>(
        AttemptTable(1, AttemptTableLimits(maxStateEntries = 4, maxFilterEntries = 8, maxAnswers = 2)),
        AttemptScheduler(1, FairQueue(2), SpeedEstimate(1_000.0, 1_000.0)),
    )

private fun work(id: String) = AttemptWork(id, "w", 1, 0, 1, 1, deadlineMs = 1_000)

@Param(name = "id", gen = StringGen::class, conf = "1:ab")
class LockedOperations {
    private val dispatcher = SharedDispatcher(dispatcher())

    @Operation
    fun submit(
        @Param(name = "id") id: String,
    ): String = dispatcher.submit(work(id), 1, 0).toString()

    @Operation
    fun finish(
        @Param(name = "id") id: String,
    ): String =
        runCatching { dispatcher.finish(id, id, 1, 0) }.fold({ it.toString() }, { "not running" })

    @Operation
    fun seal(
        @Param(name = "id") id: String,
    ): String = dispatcher.seal(id, 1).toString()
}

@Param(name = "id", gen = StringGen::class, conf = "1:ab")
class UnlockedOperations {
    private val dispatcher = dispatcher()

    @Operation
    fun submit(
        @Param(name = "id") id: String,
    ): String = dispatcher.submit(work(id), 1, 0).toString()

    @Operation
    fun finish(
        @Param(name = "id") id: String,
    ): String =
        runCatching { dispatcher.finish(id, id, 1, 0) }.fold({ it.toString() }, { "not running" })

    @Operation
    fun seal(
        @Param(name = "id") id: String,
    ): String = dispatcher.seal(id, 1).toString()
}

class SharedDispatcherTest {
    @Test
    fun `Given concurrent submits, finishes and seals, then their results are linearizable`() {
        StressOptions()
            .iterations(10)
            .invocationsPerIteration(500)
            .threads(3)
            .actorsPerThread(3)
            .check(LockedOperations::class)
    }

    @Test
    fun `Given thread switches at any point, then the results are linearizable`() {
        ModelCheckingOptions()
            .iterations(6)
            .invocationsPerIteration(60)
            .threads(2)
            .actorsPerThread(2)
            .check(LockedOperations::class)
    }

    @Test
    fun `Given a dispatcher without a lock, then the linearizability check fails`() {
        assertFails {
            ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(60)
                .threads(2)
                .actorsPerThread(3)
                .check(UnlockedOperations::class)
        }
    }
}
