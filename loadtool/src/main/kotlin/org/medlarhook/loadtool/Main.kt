package org.medlarhook.loadtool

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.medlarhook.loadtool.compare.CompareCommand
import org.medlarhook.loadtool.policy.PolicyCommand
import org.medlarhook.loadtool.run.RunCommand

/**
 * Runs one subcommand of the load tool: `policy` simulates routing policies with fake engines, `run` sends load to
 * running entries, and `compare` prints and plots the results of several runs.
 */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("medlarhook-load", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
    parser.subcommands(PolicyCommand(), RunCommand(), CompareCommand())
    parser.parse(args)
}
