package org.medlarhook.loadtool.run

import org.medlarhook.loadtool.policy.KindSpec
import kotlin.math.ln
import kotlin.random.Random

/** Makes the whole plan of a run from its seed, so that no answer changes what is sent when. */
internal class RequestPlanner(
    private val scenario: LoadScenario,
    seed: Long,
    private val durationS: Double,
) {
    private val random = Random(seed)
    private val texts = PromptTexts()

    /** The requests in the order of their times. */
    fun plan(): List<PlannedRequest> = (chats() + scenario.services.flatMap { services(it) }).sortedBy { it.atMs }

    private fun chats(): List<PlannedRequest> =
        arrivals { scenario.phaseAt(it).ratePerS }.map { atS ->
            val verdict = random.nextDouble() < scenario.phaseAt(atS).verdictShare
            val workspace = pick(atS)
            val kind = if (verdict) scenario.verdict else scenario.instruction
            PlannedRequest.Chat(atS * MS_PER_S, workspace, kind, prompt(workspace, kind))
        }

    private fun services(call: ServiceCallSpec): List<PlannedRequest> =
        arrivals { call.ratePerS }.map { atS -> PlannedRequest.Service(atS * MS_PER_S, pick(atS), call) }

    private fun arrivals(ratePerS: (Double) -> Double): List<Double> =
        generateSequence(nextAfter(0.0, ratePerS)) { nextAfter(it, ratePerS) }.takeWhile { it < durationS }.toList()

    private fun nextAfter(atS: Double, ratePerS: (Double) -> Double): Double =
        atS - ln(1 - random.nextDouble()) / ratePerS(atS)

    private fun pick(atS: Double): String {
        val demands = scenario.workspaces.map { it.demand * if (atS in it.surgeFromS..it.surgeToS) it.surge else 1.0 }
        var left = random.nextDouble() * demands.sum()
        val index = demands.indexOfFirst {
            left -= it
            left < 0
        }
        return scenario.workspaces[index.coerceAtLeast(0)].name
    }

    private fun prompt(workspace: String, kind: KindSpec): String {
        val prefix = texts.text("$workspace/${kind.streamed}/${random.nextInt(kind.prefixes)}", kind.prefixTokens)
        return prefix + texts.text("own/${random.nextLong()}", kind.promptTokens - kind.prefixTokens)
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
