package org.medlarhook.loadtool.policy

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.math.sqrt

/** Simulates the policy variants on scenarios with several seeds each, and prints a row of results per variant. */
@OptIn(ExperimentalCli::class)
internal class PolicyCommand : Subcommand("policy", "Compare policy variants in a simulation with fake engines") {
    private val scenarios by option(ArgType.String, "scenarios", description = "File or directory").required()
    private val seeds by option(ArgType.Int, "seeds").default(DEFAULT_SEEDS)
    private val only by option(ArgType.String, "only", description = "Comma-separated policy variants").default("")
    private val out by option(ArgType.String, "out", description = "JSON file for the results").default("")

    override fun execute() {
        val variants = PolicyVariant.ALL.filter { only.isEmpty() || it.name in only.split(',') }
        val results = files().flatMap { file -> compare(JSON.decodeFromString(file.readText()), variants) }
        if (out.isNotEmpty()) Path.of(out).writeText(JSON.encodeToString(results))
    }

    private fun files(): List<Path> {
        val path = Path.of(scenarios)
        if (!Files.isDirectory(path)) return listOf(path)
        return Files.list(path).use { files -> files.filter { it.toString().endsWith(".json") }.sorted().toList() }
    }

    private fun compare(scenario: PolicyScenario, variants: List<PolicyVariant>): List<PolicyResult> {
        println("\n${scenario.name} ($seeds seeds; mean, and the smallest to the largest)")
        println(HEADER)
        return variants.map { variant ->
            val runs = (1..seeds).map { PolicyRun(scenario, variant, it.toLong()).run() }
            println(row(variant, runs))
            PolicyResult(scenario.name, variant.name, runs)
        }
    }

    private fun row(variant: PolicyVariant, runs: List<PolicyFigures>): String {
        val goodput = runs.map { it.goodput }
        return "%-20s %.3f (%.3f-%.3f, sd %.3f) %6.2f %6.3f %6.3f %7.3f %6.3f %7.3f %7.1f %5.2f %8.1f".format(
            variant.name,
            goodput.average(),
            goodput.min(),
            goodput.max(),
            standardDeviation(goodput),
            runs.map { it.worstShare }.average(),
            runs.map { it.worstGoodput }.average(),
            runs.map { it.lateShare }.average(),
            runs.map { it.refusedShare }.average(),
            runs.map { it.failedShare }.average(),
            runs.map { it.retryShare }.average(),
            runs.map { it.roleChanges }.average(),
            runs.map { it.hitShare }.average(),
            runs.map { it.crossMb }.average(),
        )
    }

    private fun standardDeviation(values: List<Double>): Double =
        sqrt(values.sumOf { (it - values.average()) * (it - values.average()) } / (values.size - 1).coerceAtLeast(1))

    private companion object {
        const val DEFAULT_SEEDS = 5
        const val HEADER =
            "policy               goodput (min-max, deviation)    worst  lowest late refused failed retries" +
                "   roles  hits crossing"
        val JSON = Json { prettyPrint = true }
    }
}

/**
 * The runs of a policy variant on one scenario, one per seed.
 *
 * @property bundle name of the [PolicyVariant].
 */
@Serializable
internal data class PolicyResult(
    val scenario: String,
    val bundle: String,
    val runs: List<PolicyFigures>,
)
