package org.medlarhook.core.control

import net.jqwik.api.Arbitraries
import net.jqwik.api.Combinators
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.ActionChainArbitrary
import net.jqwik.api.state.Transformer
import java.util.Random

private const val CHAIN_LENGTH = 50
private const val CHAINS = 1_000
private const val CHAIN_SEED = 7L
private const val GENERATOR_SIZE = 1_000

/** Generates chains of steps of the given [kinds], each over a new simulation from [create]. */
internal fun <W : ControlSimulation> chainsOf(kinds: List<StepKind>, create: () -> W): ActionChainArbitrary<W> {
    val steps =
        Combinators
            .combine(
                Arbitraries.of(kinds),
                Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(0, 200),
                Arbitraries.of(CallFault.entries + List(4) { CallFault.NONE }),
            ).`as`(::Step)
    val action =
        object : Action.Independent<W> {
            override fun transformer() = steps.map { step ->
                Transformer.mutate<W>(step.toString()) { it.perform(step) }
            }
        }
    return ActionChain.startWith { create() }.withAction(action).withMaxTransformations(CHAIN_LENGTH)
}

/** Runs [chain] to its end, then ends all faults and lets the simulation settle. */
internal fun <W : ControlSimulation> finish(chain: ActionChain<W>): W = chain.run().also { it.settle() }

/** Runs [chains] over a broken variant. Returns true if the oracle reports a violation that contains [expected]. */
internal fun <W : ControlSimulation> isCaught(expected: String, chains: ActionChainArbitrary<W>): Boolean {
    val generator = chains.generator(GENERATOR_SIZE)
    val random = Random(CHAIN_SEED)
    val found = (1..CHAINS).mapNotNull { violationIn(generator.next(random).value()) }
    println("broken variant: ${found.size} of $CHAINS chains caught, ${found.count { expected in it }} by '$expected'")
    return found.any { expected in it }
}

private fun <W : ControlSimulation> violationIn(chain: ActionChain<W>): String? {
    val error = runCatching { finish(chain) }.exceptionOrNull() ?: return null
    val violation = generateSequence(error) { it.cause }.filterIsInstance<OracleViolation>().firstOrNull()
    return violation?.message ?: throw AssertionError("the chain failed without an oracle violation", error)
}
