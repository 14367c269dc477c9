package org.medlarhook.loadtool.run

import org.medlarhook.loadtool.policy.KindSpec
import kotlin.math.ln
import kotlin.random.Random

/** Generates all requests of a run from the seed in advance, so that answers do not influence what is sent when. */
internal class RequestPlanner(
    private val scenario: LoadScenario,
    seed: Long,
    private val durationS: Double,
) {
    private val random = Random(seed)
    private val texts = PromptTexts()

    /** The requests by scheduled send time. */
    fun plan(): List<PlannedRequest> = (chats() + scenario.services.flatMap { serviceCalls(it) }).sortedBy { it.atMs }

    private fun chats(): List<PlannedRequest> =
        arrivals { scenario.phaseAt(it).ratePerS }.map { atS ->
            val verdict = random.nextDouble() < scenario.phaseAt(atS).verdictShare
            val workspace = pickWorkspace(atS)
            val kind = if (verdict) scenario.verdict else scenario.instruction
            PlannedRequest.Chat(atS * MS_PER_S, workspace, kind, prompt(workspace, kind))
        }

    private fun serviceCalls(call: ServiceCallSpec): List<PlannedRequest> =
        arrivals { call.ratePerS }.map { atS -> PlannedRequest.Service(atS * MS_PER_S, pickWorkspace(atS), call) }

    private fun arrivals(ratePerS: (Double) -> Double): List<Double> =
        generateSequence(nextArrivalS(0.0, ratePerS)) { nextArrivalS(it, ratePerS) }
            .takeWhile { it < durationS }
            .toList()

    private fun nextArrivalS(atS: Double, ratePerS: (Double) -> Double): Double =
        atS - ln(1 - random.nextDouble()) / ratePerS(atS)

    private fun pickWorkspace(atS: Double): String {
        val demands = scenario.workspaces.map { it.demand * if (atS in it.surgeFromS..it.surgeToS) it.surge else 1.0 }
        var remaining = random.nextDouble() * demands.sum()
        val index = demands.indexOfFirst {
            remaining -= it
            remaining < 0
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
