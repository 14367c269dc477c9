package org.medlarhook.core.fuzz

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.medlarhook.core.fuzz.UpstreamSimulation.Link
import org.medlarhook.core.membership.UpstreamView
import java.util.Random
import kotlin.test.assertNotEquals

/** Runs random chains of faults against the real [UpstreamView]. */
class UpstreamViewFuzz {
    private enum class Kind {
        RUN,
        DRAIN,
        KILL,
        RESTART,
        LIST_AS_LEAVING,
        REMOVE,
        STALL,
        CUT,
        OPEN,
        PAUSE,
        RESUME,
        RECORD,
        REPLAY,
    }

    private data class Step(
        val kind: Kind,
        val index: Int,
        val runMs: Long,
    ) {
        fun applyTo(simulation: UpstreamSimulation) {
            val upstream = simulation.upstreams[index]
            when (kind) {
                Kind.RUN -> Unit
                Kind.DRAIN -> simulation.drain(upstream)
                Kind.KILL -> simulation.kill(upstream)
                Kind.RESTART -> simulation.restart(upstream)
                Kind.LIST_AS_LEAVING -> simulation.listAsLeaving(upstream)
                Kind.REMOVE -> simulation.remove(upstream)
                Kind.STALL -> simulation.link(upstream, Link.STALLED)
                Kind.CUT -> simulation.link(upstream, Link.CUT)
                Kind.OPEN -> simulation.link(upstream, Link.OPEN)
                Kind.PAUSE -> simulation.paused = true
                Kind.RESUME -> simulation.resume()
                Kind.RECORD -> simulation.record()
                Kind.REPLAY -> simulation.replay()
            }
            simulation.run(runMs)
        }
    }

    private val steps: Arbitrary<Step> =
        Combinators
            .combine(
                Arbitraries.of(Kind::class.java),
                Arbitraries.integers().between(0, 2),
                Arbitraries.of(0L, 300L, 1_000L, 3_000L, 7_000L),
            ).`as`(::Step)

    private fun chains(rules: UpstreamRules) =
        ActionChain
            .startWith { UpstreamSimulation(rules) }
            .withAction(
                object : Action.Independent<UpstreamSimulation> {
                    override fun transformer(): Arbitrary<Transformer<UpstreamSimulation>> =
                        steps.map { step -> Transformer.mutate("$step") { simulation -> step.applyTo(simulation) } }
                },
            ).withMaxTransformations(STEPS)

    @Provide
    fun sound(): Arbitrary<ActionChain<UpstreamSimulation>> = chains(UpstreamRules())

    @Property(tries = 1_000, seed = "4712")
    fun `Given any faults, then a leaving upstream gets no new work after 5 s, and a healthy one does`(
        @ForAll("sound") chain: ActionChain<UpstreamSimulation>,
    ) {
        chain.run()
    }

    @Example
    fun `Given silent upstreams that stay eligible, then late work is caught`() =
        assertCaught(UpstreamRules(view = UpstreamView(silenceLimitMs = HOUR_MS)))

    @Example
    fun `Given drain notices that older reports revert, then late work is caught`() =
        assertCaught(
            UpstreamRules(
                deliver = { view, report, watchStartedAtMs, nowMs ->
                    val known = view.upstreams.getValue(report.upstreamId).copy(drainingIncarnation = 0)
                    val reverted = view.copy(upstreams = view.upstreams.put(report.upstreamId, known))
                    reverted.withReport(report, watchStartedAtMs, nowMs)
                },
            ),
        )

    @Example
    fun `Given reports dated by their arrival, then late work is caught`() =
        assertCaught(
            UpstreamRules(
                deliver = { view, report, _, nowMs -> view.withReport(report, watchStartedAtMs = nowMs, nowMs) },
            ),
        )

    private fun assertCaught(rules: UpstreamRules) {
        val random = Random(SEED)
        val generator = chains(rules).generator(GENERATOR_SIZE)
        val violations =
            generateSequence { listOf(runCatching { generator.next(random).value().run() }.exceptionOrNull()) }
        val found = violations.take(CHAINS).indexOfFirst {
            "after leaving" in it.single()?.cause?.message.orEmpty()
        }
        assertNotEquals(-1, found, "none of $CHAINS chains found work after leaving")
        println("broken variant caught in chain ${found + 1}")
    }

    private companion object {
        const val STEPS = 50
        const val SEED = 4712L
        const val GENERATOR_SIZE = 1_000
        const val CHAINS = 1_000
        const val HOUR_MS = 3_600_000L
    }
}
