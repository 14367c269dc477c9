package org.medlarhook.loadtool.run

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Sends the load of a scenario to running entries, and prints and stores the results. */
@OptIn(ExperimentalCli::class)
internal class RunCommand : Subcommand("run", "Load running entries with open-loop arrivals") {
    private val entry by option(ArgType.String, "entry", description = "URL of an entry").multiple()
    private val key by option(ArgType.String, "key", description = "WORKSPACE=KEY").multiple()
    private val model by option(ArgType.String, "model").required()
    private val scenario by option(ArgType.String, "scenario", description = "JSON file").required()
    private val seed by option(ArgType.Int, "seed").default(1)
    private val durationS by option(ArgType.Int, "duration-s", description = "0: as in the scenario").default(0)
    private val label by option(ArgType.String, "label").default("run")
    private val out by option(ArgType.String, "out", description = "JSON file for the result").default("")

    override fun execute() {
        val spec = Json.decodeFromString<LoadScenario>(Path.of(scenario).readText())
        val effectiveDurationS = if (durationS > 0) durationS.toDouble() else spec.durationS
        val plan = RequestPlanner(spec, seed.toLong(), effectiveDurationS).plan()
        val records = OpenLoopSender(EntryClient(entry, keys(), model), spec.probeShare, seed.toLong()).run(plan)
        val result = LoadResult.of(label, spec, seed.toLong(), effectiveDurationS, records)
        println(ResultTable.of(listOf(result)))
        println("statuses: " + result.statuses.joinToString { "${it.status}: ${it.count}" })
        if (out.isNotEmpty()) Path.of(out).writeText(JSON.encodeToString(result))
    }

    private fun keys(): Map<String, String> = key.associate { it.substringBefore('=') to it.substringAfter('=') }

    private companion object {
        val JSON = Json { prettyPrint = true }
    }
}
