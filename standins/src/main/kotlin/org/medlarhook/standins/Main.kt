package org.medlarhook.standins

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.medlarhook.standins.engine.EngineOptions
import org.medlarhook.standins.engine.EngineServer
import org.medlarhook.standins.platform.PlatformOptions
import org.medlarhook.standins.platform.PlatformServer
import org.medlarhook.standins.service.BookingServer

/** Runs one stand-in, a test double of an outside system as a process: `platform`, `engine` or `service`. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("medlarhook-standins", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
    parser.subcommands(PlatformCommand(), EngineCommand(), ServiceCommand())
    parser.parse(args)
}

@OptIn(ExperimentalCli::class)
private class PlatformCommand : Subcommand("platform", "Stand-in of the platform: tables, objects, orders, VMs") {
    private val port by option(ArgType.Int, "port").required()
    private val maxReadsPerS by option(ArgType.Int, "max-reads-per-s").default(PlatformOptions.DEFAULT_MAX_READS_PER_S)
    private val maxWritesPerS by option(ArgType.Int, "max-writes-per-s")
        .default(PlatformOptions.DEFAULT_MAX_WRITES_PER_S)
    private val vmLagMs by option(ArgType.Int, "vm-lag-ms").default(PlatformOptions.DEFAULT_VM_LAG_MS.toInt())

    override fun execute() {
        PlatformServer(PlatformOptions(maxReadsPerS, maxWritesPerS, vmLagMs.toLong())).start(port)
    }
}

@OptIn(ExperimentalCli::class)
private class EngineCommand : Subcommand("engine", "Stand-in of a model engine") {
    private val port by option(ArgType.Int, "port").required()
    private val model by option(ArgType.String, "model").required()
    private val slots by option(ArgType.Int, "slots").default(EngineOptions.DEFAULT_SLOTS)
    private val prefillTokensPerS by option(ArgType.Double, "prefill-tokens-per-s")
        .default(EngineOptions.DEFAULT_PREFILL_TOKENS_PER_S)
    private val decodeTokensPerS by option(ArgType.Double, "decode-tokens-per-s")
        .default(EngineOptions.DEFAULT_DECODE_TOKENS_PER_S)
    private val batchSlowdown by option(ArgType.Double, "batch-slowdown").default(DEFAULTS.batchSlowdown)
    private val cacheTokens by option(ArgType.Int, "cache-tokens").default(DEFAULTS.cacheTokens)
    private val orderMs by option(ArgType.Int, "order-ms").default(DEFAULTS.orderMs.toInt())
    private val roleChangeMs by option(ArgType.Int, "role-change-ms").default(DEFAULTS.roleChangeMs.toInt())
    private val loadLagMs by option(ArgType.Int, "load-lag-ms").default(DEFAULTS.loadLagMs.toInt())
    private val fencing by option(ArgType.Boolean, "fencing").default(false)

    override fun execute() {
        val engineOptions =
            EngineOptions(
                models = model.split(','),
                slots = slots,
                prefillTokensPerS = prefillTokensPerS,
                decodeTokensPerS = decodeTokensPerS,
                batchSlowdown = batchSlowdown,
                cacheTokens = cacheTokens,
                orderMs = orderMs.toLong(),
                roleChangeMs = roleChangeMs.toLong(),
                checksFencing = fencing,
                loadLagMs = loadLagMs.toLong(),
            )
        EngineServer(engineOptions).start(port)
    }

    private companion object {
        val DEFAULTS =
            EngineOptions(
                models = emptyList(),
                slots = EngineOptions.DEFAULT_SLOTS,
                prefillTokensPerS = EngineOptions.DEFAULT_PREFILL_TOKENS_PER_S,
                decodeTokensPerS = EngineOptions.DEFAULT_DECODE_TOKENS_PER_S,
            )
    }
}

@OptIn(ExperimentalCli::class)
private class ServiceCommand : Subcommand("service", "Stand-in of a service: takes bookings and counts executions") {
    private val port by option(ArgType.Int, "port").required()
    private val delayMs by option(ArgType.Int, "delay-ms").default(0)

    override fun execute() {
        BookingServer(delayMs.toLong()).start(port)
    }
}
