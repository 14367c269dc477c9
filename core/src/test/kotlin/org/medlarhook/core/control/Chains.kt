package org.medlarhook.core.control

import net.jqwik.api.Arbitraries
import net.jqwik.api.Combinators
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.ActionChainArbitrary
import net.jqwik.api.state.Transformer
import java.util.Random

private const val CHAIN_LENGTH = 50
private const val RED_CHAINS = 1_000
private const val RED_SEED = 7L
private const val RANDOM_SIZE = 1_000

/** Chains of steps over worlds that [create] makes. */
internal fun <W : World> chainsOf(ops: List<Op>, create: () -> W): ActionChainArbitrary<W> {
    val steps =
        Combinators
            .combine(
                Arbitraries.of(ops),
                Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(0, 200),
                Arbitraries.of(Mishap.entries + List(4) { Mishap.NONE }),
            ).`as`(::Step)
    val action =
        object : Action.Independent<W> {
            override fun transformer() = steps.map { step ->
                Transformer.mutate<W>(step.toString()) { it.perform(step) }
            }
        }
    return ActionChain.startWith { create() }.withAction(action).withMaxTransformations(CHAIN_LENGTH)
}

/** Runs [chain] to its end, and until nothing is left to do. */
internal fun <W : World> finish(chain: ActionChain<W>): W = chain.run().also { it.settle() }

/** Runs chains over a broken variant, and tells whether the oracle objects with [words]. */
internal fun <W : World> isCaught(words: String, chains: ActionChainArbitrary<W>): Boolean {
    val generator = chains.generator(RANDOM_SIZE)
    val random = Random(RED_SEED)
    val found = (1..RED_CHAINS).mapNotNull { objection(generator.next(random).value()) }
    println("broken variant: ${found.size} of $RED_CHAINS chains caught, ${found.count { words in it }} by '$words'")
    return found.any { words in it }
}

private fun <W : World> objection(chain: ActionChain<W>): String? {
    val error = runCatching { finish(chain) }.exceptionOrNull() ?: return null
    val violation = generateSequence(error) { it.cause }.filterIsInstance<OracleViolation>().firstOrNull()
    return violation?.message ?: throw AssertionError("no finding of the oracle", error)
}
