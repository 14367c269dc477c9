package org.medlarhook.cli.command

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command with subcommands, such as `config`. Each group has its own parser, which makes nested options work. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    val name: String,
    private val description: String,
    private vararg val commands: Subcommand,
) {
    /** Returns a command without effect that makes the program's help list this group. */
    fun helpPlaceholder(): Subcommand =
        object : Subcommand(name, description) {
            override fun execute() = Unit
        }

    /** Runs the subcommand named by the first of [args]; without arguments, prints the help. */
    fun run(program: String, args: Array<String>) {
        val parser = ArgParser("$program $name", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
        commands.forEach { parser.subcommands(it) }
        parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    }
}
