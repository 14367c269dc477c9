package org.medlarhook.core.fuzz

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.medlarhook.core.fuzz.FuzzStep.Kind
import java.util.Random
import kotlin.test.assertNotEquals

/**
 * Runs random chains of faults and operator requests against the real replica, log, authority policy and write permit.
 * A withdrawn key must be refused by all entries in time, and an acknowledged change must not be lost.
 */
class DirectoryFuzz {
    private val kinds: Arbitrary<Kind> = Arbitraries.frequency(
        Tuple.of(4, Kind.RUN),
        Tuple.of(8, Kind.WITHDRAW),
        Tuple.of(1, Kind.CONFIGURE),
        Tuple.of(2, Kind.RACE),
        Tuple.of(2, Kind.PAUSE),
        Tuple.of(4, Kind.RESUME),
        Tuple.of(1, Kind.KILL),
        Tuple.of(2, Kind.START),
        Tuple.of(1, Kind.START_ISOLATED),
        Tuple.of(1, Kind.ISOLATE_FROM_PEERS),
        Tuple.of(1, Kind.STOP),
        Tuple.of(3, Kind.CUT_TABLES),
        Tuple.of(2, Kind.LOSE_ANSWER),
        Tuple.of(4, Kind.HEAL_TABLES),
        Tuple.of(2, Kind.OUTAGE),
        Tuple.of(2, Kind.OUTAGE_ENDS),
        Tuple.of(1, Kind.SLOW_PLATFORM),
        Tuple.of(3, Kind.CUT_LINK),
        Tuple.of(1, Kind.CUT_OFF),
        Tuple.of(3, Kind.HEAL_LINKS),
        Tuple.of(1, Kind.DISTURB_LINKS),
    )

    private val steps: Arbitrary<FuzzStep> =
        Combinators
            .combine(kinds, Arbitraries.integers().between(0, 9), Arbitraries.integers().between(0, 9), durations())
            .`as`(::FuzzStep)

    private fun durations(): Arbitrary<Long> =
        Arbitraries.frequency(
            Tuple.of(3, 0L),
            Tuple.of(3, 300L),
            Tuple.of(3, 1_000L),
            Tuple.of(2, 3_000L),
            Tuple.of(1, 6_000L),
            Tuple.of(1, 15_000L),
        )

    private fun chains(rules: FuzzRules, figures: FuzzFigures = FuzzFigures()) =
        ActionChain
            .startWith { DirectorySimulation(rules, figures = figures) }
            .withAction(
                object : Action.Independent<DirectorySimulation> {
                    override fun transformer(): Arbitrary<Transformer<DirectorySimulation>> =
                        steps.map { step -> Transformer.mutate("$step") { simulation -> step.applyTo(simulation) } }
                },
            ).withMaxTransformations(STEPS)

    @Provide
    fun sound(): Arbitrary<ActionChain<DirectorySimulation>> = chains(FuzzRules(), FIGURES)

    @Property(tries = 1_000, seed = "4711")
    fun `Given any faults, then no withdrawn key is accepted late, and no configuration is lost or reverts`(
        @ForAll("sound") chain: ActionChain<DirectorySimulation>,
    ) {
        chain.run()
    }

    @Example
    fun `Given ages counted from the receipt, then a late acceptance is caught`() =
        assertCaught(BrokenRules.agesCountedFromReceipt, "accepts")

    @Example
    fun `Given peer statuses merged before the sender's version is reached, then a late acceptance is caught`() =
        assertCaught(BrokenRules.peerStatusesWithoutVersion, "accepts")

    @Example
    fun `Given an outage that each entry decides alone, then a late acceptance is caught`() =
        assertCaught(BrokenRules.outageDecidedAlone, "accepts")

    @Example
    fun `Given stopped entries that are forgotten at once, then a late acceptance is caught`() =
        assertCaught(BrokenRules.stoppedEntriesForgotten, "accepts")

    @Example
    fun `Given writes without a delay after an outage, then a late acceptance is caught`() =
        assertCaught(BrokenRules.writesWithoutDelay, "accepts")

    @Example
    fun `Given writes by an entry that others have not discovered, then a late acceptance is caught`() =
        assertCaught(BrokenRules.writesBeforeDiscovery, "accepts")

    @Example
    fun `Given lost answers treated as refusals, then a change that was refused and written is caught`() =
        assertCaught(BrokenRules.lostAnswersTreatedAsRefusals, "refused but is written")

    @Example
    fun `Given lost answers that a retry forgets, then a change that was refused and written is caught`() =
        assertCaught(BrokenRules.lostAnswersForgottenOnRetry, "refused but is written")

    @Example
    fun `Given withdrawals declared in force too early, then it is caught`() =
        assertCaught(BrokenRules.withdrawalsDeclaredEarly, "declared in force")

    /** Runs only if the number of chains is set, for example with `-Dfuzz.chains=20000 -Dfuzz.seed=1`. */
    @Example
    fun `Given a chosen number of chains and seed, then the same holds`() {
        val random = Random(java.lang.Long.getLong("fuzz.seed", SEED))
        val generator = chains(FuzzRules(), FIGURES).generator(GENERATOR_SIZE)
        repeat(Integer.getInteger("fuzz.chains", 0)) { generator.next(random).value().run() }
    }

    private fun assertCaught(rules: FuzzRules, expected: String) {
        val random = Random(SEED)
        val generator = chains(rules).generator(GENERATOR_SIZE)
        val violations = generateSequence {
            runCatching { generator.next(random).value().run() }.exceptionOrNull() to Unit
        }
        val found = violations.take(CHAINS).indexOfFirst { (failure, _) ->
            expected in failure?.cause?.message.orEmpty()
        }
        assertNotEquals(-1, found, "none of $CHAINS chains found a violation with '$expected'")
        println("broken variant caught in chain ${found + 1}")
    }

    companion object {
        private const val STEPS = 50
        private const val SEED = 4711L
        private const val GENERATOR_SIZE = 1_000
        private const val CHAINS = 1_000
        private val FIGURES = FuzzFigures()

        @JvmStatic
        @AfterContainer
        fun report() {
            println("sound rules: $FIGURES")
        }
    }
}
