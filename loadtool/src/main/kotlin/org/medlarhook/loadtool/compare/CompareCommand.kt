package org.medlarhook.loadtool.compare

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.vararg
import kotlinx.serialization.json.Json
import org.medlarhook.loadtool.run.LoadResult
import org.medlarhook.loadtool.run.ResultTable
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Prints the stored results of several runs as one table, and optionally plots their goodput. */
@OptIn(ExperimentalCli::class)
internal class CompareCommand : Subcommand("compare", "Compare results of runs") {
    private val files by argument(ArgType.String, "files").vararg()
    private val svg by option(ArgType.String, "svg", description = "File for the plot").default("")

    override fun execute() {
        val results = files.map { Json.decodeFromString<LoadResult>(Path.of(it).readText()) }
        println(ResultTable.of(results))
        if (svg.isNotEmpty()) Path.of(svg).writeText(GoodputPlot.of(results))
    }
}
