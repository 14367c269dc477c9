package org.medlarhook.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.medlarhook.cli.command.EntryCommand
import org.medlarhook.cli.command.FrontCommand
import org.medlarhook.cli.command.ReportCommand
import org.medlarhook.cli.command.SidecarCommand
import org.medlarhook.cli.command.StateCommand
import org.medlarhook.cli.command.UpstreamsCommand
import org.medlarhook.cli.command.VersionCommand
import org.medlarhook.cli.command.WorkspaceCommand
import org.medlarhook.cli.command.configCommand
import org.medlarhook.cli.command.keyCommand
import org.medlarhook.cli.command.settingsCommand

private const val PROGRAM = "medlarhook"

/** Runs a serving process (entry, sidecar or front) or one command of the operators' command-line client. */
fun main(args: Array<String>) {
    val groups = listOf(settingsCommand(), configCommand(), keyCommand())
    val group = groups.firstOrNull { it.name == args.firstOrNull() }
    if (group != null) {
        group.run(PROGRAM, args.drop(1).toTypedArray())
    } else {
        runCommand(args, groups.map { it.helpPlaceholder() })
    }
}

@OptIn(ExperimentalCli::class)
private fun runCommand(args: Array<String>, helpPlaceholders: List<Subcommand>) {
    val parser = ArgParser(PROGRAM, prefixStyle = ArgParser.OptionPrefixStyle.GNU)
    val commands =
        listOf(
            FrontCommand(),
            EntryCommand(),
            SidecarCommand(),
            WorkspaceCommand(),
            UpstreamsCommand(),
            StateCommand(),
            ReportCommand(),
            VersionCommand(),
        )
    (commands + helpPlaceholders).forEach { parser.subcommands(it) }
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
