package org.medlarhook.loadtool

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.medlarhook.loadtool.policy.PolicyCommand

/** Starts the load tool: `policy` compares the decision functions, `run` loads an entry, `compare` shows runs. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("medlarhook-load", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
    parser.subcommands(PolicyCommand())
    parser.parse(args)
}
