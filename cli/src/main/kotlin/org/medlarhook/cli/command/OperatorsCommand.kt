package org.medlarhook.cli.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.medlarhook.cli.client.OperatorsClient

/** A command that calls an entry's HTTP server for operators. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorsCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private val entry by option(ArgType.String, "entry", description = "URL of an entry's HTTP server for operators")
        .required()

    private val output by option(ArgType.Choice<OutputFormat>(), "output", description = "Output format")
        .default(OutputFormat.TEXT)

    /** A client of the entry given by `--entry`. */
    protected val client: OperatorsClient
        get() = OperatorsClient(entry)

    /** Prints [json] or [text], depending on `--output`. */
    protected fun print(json: String, text: () -> String) {
        println(if (output == OutputFormat.JSON) json else text())
    }
}
