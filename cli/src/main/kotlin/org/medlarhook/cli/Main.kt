package org.medlarhook.cli

import arrow.core.Either
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.serialization.KSerializer
import org.medlarhook.entry.Entry
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.settings.SettingsLoader
import org.medlarhook.runtime.settings.SidecarSettings
import org.medlarhook.sidecar.Sidecar
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_SETTINGS = 2

/** Starts a role of the system. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("medlarhook", prefixStyle = ArgParser.OptionPrefixStyle.GNU)
    parser.subcommands(EntryCommand(), SidecarCommand())
    parser.parse(args)
}

@OptIn(ExperimentalCli::class)
private class EntryCommand : Subcommand("entry", "Runs an entry") {
    private val settings by option(
        ArgType.String,
        "settings",
        description = "Base file and overlays, by commas",
    ).required()

    override fun execute() {
        Entry(loadOrExit(settings, EntrySettings.serializer())).run()
    }
}

@OptIn(ExperimentalCli::class)
private class SidecarCommand : Subcommand("sidecar", "Runs the sidecar of one upstream") {
    private val settings by option(
        ArgType.String,
        "settings",
        description = "Base file and overlays, by commas",
    ).required()

    override fun execute() {
        Sidecar(loadOrExit(settings, SidecarSettings.serializer())).run()
    }
}

private fun <T> loadOrExit(files: String, serializer: KSerializer<T>): T =
    when (val loaded = SettingsLoader.load(files.split(',').map { Path.of(it) }, serializer)) {
        is Either.Right -> loaded.value
        is Either.Left -> {
            System.err.println(loaded.value.detail)
            exitProcess(EXIT_SETTINGS)
        }
    }
