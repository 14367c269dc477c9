package org.medlarhook.cli.command

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A name that groups commands, such as `config`. It has a parser of its own, so that options work at its depth. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    val name: String,
    private val description: String,
    private vararg val commands: Subcommand,
) {
    /** An entry for the list of commands in the program's help. */
    fun listing(): Subcommand =
        object : Subcommand(name, description) {
            override fun execute() = Unit
        }

    /** Runs the command that [args] name. */
    fun run(program: String, args: Array<String>) {
        val parser = ArgParser("$program $name", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
        commands.forEach { parser.subcommands(it) }
        parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    }
}
