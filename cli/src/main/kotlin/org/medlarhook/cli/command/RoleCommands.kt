package org.medlarhook.cli.command

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

private const val SETTINGS_HELP = "Settings file and its overlay files, comma-separated"

/** Runs an entry in this process until it is stopped. */
@OptIn(ExperimentalCli::class)
internal class EntryCommand : Subcommand("entry", "Runs an entry") {
    private val settings by option(ArgType.String, "settings", description = SETTINGS_HELP).required()

    override fun execute() {
        Entry(loadSettings(settings, EntrySettings.serializer())).run()
    }
}

/** Runs a sidecar in this process until it is stopped. */
@OptIn(ExperimentalCli::class)
internal class SidecarCommand : Subcommand("sidecar", "Runs the sidecar of one upstream") {
    private val settings by option(ArgType.String, "settings", description = SETTINGS_HELP).required()

    override fun execute() {
        Sidecar(loadSettings(settings, SidecarSettings.serializer())).run()
    }
}

/** Returns the `settings` group of commands. */
internal fun settingsCommand(): CommandGroup =
    CommandGroup(
        "settings",
        "Validates the settings files of entries and sidecars",
        SettingsCheckCommand("check-entry", EntrySettings.serializer()),
        SettingsCheckCommand("check-sidecar", SidecarSettings.serializer()),
    )

@OptIn(ExperimentalCli::class)
private class SettingsCheckCommand<T>(
    name: String,
    private val serializer: KSerializer<T>,
) : Subcommand(name, "Validates settings files without starting a process") {
    private val settings by option(ArgType.String, "settings", description = SETTINGS_HELP).required()

    override fun execute() {
        loadSettings(settings, serializer)
        println("ok")
    }
}

private fun <T> loadSettings(files: String, serializer: KSerializer<T>): T =
    SettingsLoader.load(files.split(',').map { Path.of(it) }, serializer).orExitInvalid()
