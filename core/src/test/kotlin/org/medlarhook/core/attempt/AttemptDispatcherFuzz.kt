package org.medlarhook.core.attempt

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.medlarhook.core.fairness.FairQueue
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val CHAIN_LENGTH = 50
private const val SLOTS = 3
private const val MAX_QUEUED = 5
private const val INCARNATION = 7L
private const val SAMPLES = 200L

/** Changes the effects that the dispatcher returns: the identity for a correct dispatcher, or an injected fault. */
typealias EffectFilter = (List<AttemptEffect>) -> List<AttemptEffect>

/** The test oracle: records which attempts are queued, run at the engine, or have their final answer. */
class DispatcherModel(
    private val filter: EffectFilter,
) {
    private val dispatcher =
        AttemptDispatcher<String>(
            AttemptTable(INCARNATION, AttemptTableLimits(maxStateEntries = 8, maxFilterEntries = 400, maxAnswers = 4)),
            AttemptScheduler(SLOTS, FairQueue(MAX_QUEUED), SpeedEstimate(1_000.0, 100.0)),
        )
    private val sentToEngine = HashSet<String>()
    private val queued = HashSet<String>()
    private val running = LinkedHashSet<String>()
    private val answeredIds = HashSet<String>()
    private val sealed = HashSet<String>()
    private val deadlineMs = HashMap<String, Long>()
    private var nowMs = 0L
    private var isDraining = false
    private var isAvailable = true
    private var lastId = 0

    fun submit(variant: Int) {
        val id = "a${++lastId}"
        val work = work(id, variant)
        queued += id
        deadlineMs[id] = work.deadlineMs
        apply(dispatcher.submit(work, INCARNATION, nowMs))
        if (id in sealed) assertTrue(id !in running)
    }

    fun submitAgain(choice: Int) {
        if (lastId == 0) return
        val id = "a${1 + choice % lastId}"
        val effects = dispatcher.submit(work(id, choice), INCARNATION, nowMs)
        val refusal = effects.single() as AttemptEffect.Refuse
        if (refusal.failure.runState == RunState.NOT_RUN) assertTrue(id !in sentToEngine, "$id was run")
    }

    fun finish(choice: Int) {
        if (running.isEmpty()) return
        val id = running.elementAt(choice % running.size)
        running -= id
        answeredIds += id
        apply(dispatcher.finish(id, "answer", 6, nowMs))
    }

    fun advance(durationMs: Int) {
        nowMs += durationMs
        apply(dispatcher.expire(nowMs))
        queued.forEach { assertTrue(deadlineMs.getValue(it) > nowMs, "$it is queued past its deadline") }
    }

    fun cancel(choice: Int) {
        if (lastId == 0) return
        val id = "a${1 + choice % lastId}"
        val wasQueued = id in queued
        apply(dispatcher.cancel(id))
        assertTrue(!wasQueued || id in answeredIds, "$id was cancelled in the queue and got no answer")
    }

    fun seal(choice: Int) {
        val id = "a${1 + choice % (lastId + 2)}"
        val outcome = dispatcher.seal(id, INCARNATION)
        if (outcome.status == AttemptStatus.Sealed) {
            assertTrue(id !in sentToEngine, "$id was run, but is reported as sealed")
            sealed += id
        }
        if (outcome.status == AttemptStatus.Running) assertTrue(id in running)
        apply(outcome.effects)
    }

    fun drain() {
        isDraining = true
        apply(dispatcher.drain())
        assertTrue(queued.isEmpty(), "attempts are queued after the drain began: $queued")
    }

    fun setAvailable(available: Boolean) {
        isAvailable = available
        apply(dispatcher.setAvailable(available))
    }

    /** Ends all running attempts; then every attempt must have its answer. */
    fun settle() {
        while (running.isNotEmpty()) finish(0)
        assertTrue(queued.isEmpty(), "attempts without an answer: $queued")
        assertTrue(dispatcher.isIdle)
    }

    private fun apply(effects: List<AttemptEffect>) {
        filter(effects).forEach(::apply)
        assertTrue(running.size <= SLOTS, "${running.size} attempts run in $SLOTS slots")
        assertEquals(running.size, dispatcher.load.running)
        assertEquals(queued.size, dispatcher.load.queued)
        assertTrue(!isAvailable || isDraining || queued.isEmpty() || running.size == SLOTS, "a slot is idle")
    }

    private fun apply(effect: AttemptEffect) {
        when (effect) {
            is AttemptEffect.Start -> {
                assertTrue(!isDraining, "${effect.attemptId} starts after the drain began")
                assertTrue(sentToEngine.add(effect.attemptId), "${effect.attemptId} starts twice")
                assertTrue(effect.attemptId !in sealed, "${effect.attemptId} was sealed, but starts")
                assertTrue(effect.work.deadlineMs > nowMs, "${effect.attemptId} starts past its deadline")
                queued -= effect.attemptId
                running += effect.attemptId
            }
            is AttemptEffect.Refuse -> {
                assertEquals(RunState.NOT_RUN, effect.failure.runState)
                assertTrue(effect.attemptId !in sentToEngine, "${effect.attemptId} was run, but is refused as not run")
                assertTrue(answeredIds.add(effect.attemptId), "${effect.attemptId} gets a second answer")
                queued -= effect.attemptId
            }
            is AttemptEffect.Stop -> assertTrue(effect.attemptId !in queued)
        }
    }

    private fun work(id: String, variant: Int) =
        AttemptWork(
            attemptId = id,
            workspace = "w${variant % 3}",
            weight = 1 + variant % 2,
            priority = variant % 2,
            promptTokens = variant * 7L % 200,
            outputTokens = 1L + variant % 20,
            deadlineMs = nowMs + 100 + variant * 13L % 1_500,
        )
}

class AttemptDispatcherFuzz {
    @Property(tries = 1_500, seed = "41")
    fun `Given any order of events, then each attempt gets exactly one final answer, which is true`(
        @ForAll("chains") chain: ActionChain<DispatcherModel>,
    ) {
        chain.run().settle()
    }

    @Property(tries = 1, seed = "42")
    fun `Given a dispatcher that loses a refusal, then the oracle detects it`() {
        assertDetected { effects -> effects.filterNot { it is AttemptEffect.Refuse && it.attemptId.endsWith("3") } }
    }

    @Property(tries = 1, seed = "43")
    fun `Given a dispatcher that starts an attempt twice, then the oracle detects it`() {
        assertDetected { effects -> effects + effects.filterIsInstance<AttemptEffect.Start>() }
    }

    @Property(tries = 1, seed = "44")
    fun `Given a dispatcher that refuses attempts that it started, then the oracle detects it`() {
        assertDetected { effects ->
            effects.flatMap { if (it is AttemptEffect.Stop) listOf(it, it.asRefusal()) else listOf(it) }
        }
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<DispatcherModel>> = chainsOver { it }

    private fun AttemptEffect.Stop.asRefusal(): AttemptEffect {
        return AttemptEffect.Refuse(attemptId, Failure(ResultCode.CANCELLED, RunState.NOT_RUN))
    }

    private fun assertDetected(filter: EffectFilter) {
        assertTrue(countFailures { it } == 0L, "a chain fails without the injected fault")
        assertTrue(countFailures(filter) > 0, "none of $SAMPLES chains detected the injected fault")
    }

    private fun countFailures(filter: EffectFilter): Long =
        chainsOver(filter).sampleStream().limit(SAMPLES).filter { runCatching { it.run().settle() }.isFailure }.count()

    private fun chainsOver(filter: EffectFilter): Arbitrary<ActionChain<DispatcherModel>> =
        ActionChain
            .startWith { DispatcherModel(filter) }
            .withAction(8, step("submit", 0..2_000, DispatcherModel::submit))
            .withAction(1, step("submitAgain", 0..60, DispatcherModel::submitAgain))
            .withAction(5, step("finish", 0..SLOTS, DispatcherModel::finish))
            .withAction(2, step("advance", 1..200, DispatcherModel::advance))
            .withAction(1, step("cancel", 0..60, DispatcherModel::cancel))
            .withAction(2, step("seal", 0..60, DispatcherModel::seal))
            .withAction(1, step("drain", 0..5) { if (it == 0) drain() })
            .withAction(1, step("available", 0..3) { setAvailable(it > 0) })
            .withMaxTransformations(CHAIN_LENGTH)

    private fun step(name: String, range: IntRange, run: DispatcherModel.(Int) -> Unit) =
        Action.Independent<DispatcherModel> {
            Arbitraries
                .integers()
                .between(range.first, range.last)
                .map { number -> Transformer.mutate("$name $number") { it.run(number) } }
        }
}
