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

/** One step of a chain: [seed] feeds the choices within the step. */
internal data class FuzzStep<O : Enum<O>>(
    val op: O,
    val who: Int,
    val seed: Long,
)

/** A world that steps change; [settle] lets everything come to an end. */
internal interface FuzzWorld<O : Enum<O>> {
    fun perform(step: FuzzStep<O>)

    fun settle()
}

/** What the oracle found wrong. */
internal class OracleViolation(
    message: String,
) : AssertionError(message)

internal fun oracle(holds: Boolean, message: () -> String) {
    if (!holds) throw OracleViolation(message())
}

/** Chains of [ops], of which some come more often, over worlds that [create] makes. */
internal fun <O : Enum<O>, W : FuzzWorld<O>> chainsOf(ops: List<O>, create: () -> W): ActionChainArbitrary<W> {
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

/** Runs [chain] to its end, and until nothing is left to do. */
internal fun <W : FuzzWorld<*>> finish(chain: ActionChain<W>): W = chain.run().also { it.settle() }

/** The findings of the oracle in [count] chains from [seed]. */
internal fun <W : FuzzWorld<*>> violations(chains: ActionChainArbitrary<W>, count: Int, seed: Long): List<String> {
    val generator = chains.generator(RANDOM_SIZE)
    val random = Random(seed)
    return (1..count).mapNotNull {
        val chain = generator.next(random).value()
        runCatching { finish(chain) }.exceptionOrNull()?.let { error ->
            generateSequence(error) { it.cause }.filterIsInstance<OracleViolation>().firstOrNull()?.message
                ?: throw AssertionError("no finding of the oracle", error)
        }
    }
}
