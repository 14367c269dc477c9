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
import org.medlarhook.core.fuzz.UpstreamWorld.Link
import org.medlarhook.core.membership.UpstreamView
import java.util.Random
import kotlin.test.assertNotEquals

/** Chains of faults over the real view of the upstreams. */
class UpstreamViewFuzz {
    private enum class Kind {
        RUN,
        DRAIN,
        KILL,
        RESTART,
        LIST_LEAVING,
        REMOVE,
        STALL,
        CUT,
        OPEN,
        PAUSE,
        RESUME,
        KEEP,
        DELIVER_KEPT,
    }

    private data class Step(
        val kind: Kind,
        val index: Int,
        val runMs: Long,
    ) {
        fun applyTo(world: UpstreamWorld) {
            val upstream = world.upstreams[index]
            when (kind) {
                Kind.RUN -> Unit
                Kind.DRAIN -> world.drain(upstream)
                Kind.KILL -> world.kill(upstream)
                Kind.RESTART -> world.restart(upstream)
                Kind.LIST_LEAVING -> world.list(upstream)
                Kind.REMOVE -> world.remove(upstream)
                Kind.STALL -> world.link(upstream, Link.STALLED)
                Kind.CUT -> world.link(upstream, Link.CUT)
                Kind.OPEN -> world.link(upstream, Link.OPEN)
                Kind.PAUSE -> world.paused = true
                Kind.RESUME -> world.resume()
                Kind.KEEP -> world.keep()
                Kind.DELIVER_KEPT -> world.deliverKept()
            }
            world.run(runMs)
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
            .startWith { UpstreamWorld(rules) }
            .withAction(
                object : Action.Independent<UpstreamWorld> {
                    override fun transformer(): Arbitrary<Transformer<UpstreamWorld>> =
                        steps.map { step -> Transformer.mutate("$step") { world -> step.applyTo(world) } }
                },
            ).withMaxTransformations(STEPS)

    @Provide
    fun sound(): Arbitrary<ActionChain<UpstreamWorld>> = chains(UpstreamRules())

    @Property(tries = 1_000, seed = "4712")
    fun `Given any faults, then a leaving upstream gets no new work after 5 s, and a healthy one does`(
        @ForAll("sound") chain: ActionChain<UpstreamWorld>,
    ) {
        chain.run()
    }

    @Example
    fun `Given silence that is ignored, then late work is caught`() =
        assertCaught(UpstreamRules(view = UpstreamView(silenceLimitMs = HOUR_MS)))

    @Example
    fun `Given drain notices that older reports undo, then late work is caught`() =
        assertCaught(
            UpstreamRules(
                deliver = { view, report, watchStartedAtMs, nowMs ->
                    val known = view.upstreams.getValue(report.upstreamId).copy(drainingIncarnation = 0)
                    val undone = view.copy(upstreams = view.upstreams.put(report.upstreamId, known))
                    undone.withReport(report, watchStartedAtMs, nowMs)
                },
            ),
        )

    @Example
    fun `Given reports that count from when they come, then late work is caught`() =
        assertCaught(
            UpstreamRules(deliver = {
                view,
                report,
                _,
                nowMs,
                ->
                view.withReport(report, watchStartedAtMs = nowMs, nowMs)
            }),
        )

    private fun assertCaught(rules: UpstreamRules) {
        val random = Random(SEED)
        val generator = chains(rules).generator(GENERATION_SIZE)
        val violations =
            generateSequence { listOf(runCatching { generator.next(random).value().run() }.exceptionOrNull()) }
        val found = violations.take(RED_CHAINS).indexOfFirst {
            "after leaving" in it.single()?.cause?.message.orEmpty()
        }
        assertNotEquals(-1, found, "no chain of $RED_CHAINS caught it")
        println("broken variant caught in chain ${found + 1}")
    }

    private companion object {
        const val STEPS = 50
        const val SEED = 4712L
        const val GENERATION_SIZE = 1_000
        const val RED_CHAINS = 1_000
        const val HOUR_MS = 3_600_000L
    }
}
