package org.medlarhook.core.call.fuzz

import net.jqwik.api.Arbitraries
import net.jqwik.api.Combinators
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.ActionChainArbitrary
import net.jqwik.api.state.Transformer
import java.util.Random

internal const val CHAIN_LENGTH = 50
private const val RANDOM_SIZE = 1_000

/** One step of a chain; [seed] determines the random choices within it. */
internal data class FuzzStep<O : Enum<O>>(
    val op: O,
    val who: Int,
    val seed: Long,
)

/** A simulated system to which steps are applied; [settle] lets all requests end. */
internal interface Simulation<O : Enum<O>> {
    fun perform(step: FuzzStep<O>)

    fun settle()
}

/** A violation that the oracle detected. */
internal class OracleViolation(
    message: String,
) : AssertionError(message)

internal fun oracle(holds: Boolean, message: () -> String) {
    if (!holds) throw OracleViolation(message())
}

/** Chains of random [ops] on simulations from [create]. An op that is listed several times is more frequent. */
internal fun <O : Enum<O>, W : Simulation<O>> chainsOf(ops: List<O>, create: () -> W): ActionChainArbitrary<W> {
    val steps =
        Combinators
            .combine(
                Arbitraries.of(ops),
                Arbitraries.integers().between(0, 5),
                Arbitraries.longs().between(0, 1_000_000),
            )
            .`as` { op, who, seed -> FuzzStep(op, who, seed) }
    val action =
        object : Action.Independent<W> {
            override fun transformer() = steps.map { step ->
                Transformer.mutate<W>(step.toString()) { it.perform(step) }
            }
        }
    return ActionChain.startWith { create() }.withAction(action).withMaxTransformations(CHAIN_LENGTH)
}

/** Runs all steps of [chain], and then settles its simulation. */
internal fun <W : Simulation<*>> finish(chain: ActionChain<W>): W = chain.run().also { it.settle() }

/** The violations that the oracle detects in [count] chains generated from [seed]. */
internal fun <W : Simulation<*>> violations(chains: ActionChainArbitrary<W>, count: Int, seed: Long): List<String> {
    val generator = chains.generator(RANDOM_SIZE)
    val random = Random(seed)
    return (1..count).mapNotNull {
        val chain = generator.next(random).value()
        runCatching { finish(chain) }.exceptionOrNull()?.let { error ->
            generateSequence(error) { it.cause }.filterIsInstance<OracleViolation>().firstOrNull()?.message
                ?: throw AssertionError("a chain failed, but not by a violation of the oracle", error)
        }
    }
}
