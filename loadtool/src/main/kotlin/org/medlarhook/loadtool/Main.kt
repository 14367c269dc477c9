package org.medlarhook.loadtool

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.medlarhook.loadtool.compare.CompareCommand
import org.medlarhook.loadtool.policy.PolicyCommand
import org.medlarhook.loadtool.run.RunCommand

/** Starts the load tool: `policy` compares the decision functions, `run` loads entries, `compare` shows results. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("medlarhook-load", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
    parser.subcommands(PolicyCommand(), RunCommand(), CompareCommand())
    parser.parse(args)
}
