package org.medlarhook.cli.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import org.medlarhook.cli.client.describe
import org.medlarhook.cli.config.ConfigFiles
import org.medlarhook.core.config.ConfigDiff
import org.medlarhook.core.config.ConfigDocument
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.directory.kind
import org.medlarhook.runtime.operators.api.ChangeAnswer
import org.medlarhook.runtime.operators.api.ChangeRequest
import org.medlarhook.runtime.operators.api.ConfigAnswer
import org.medlarhook.runtime.operators.api.HistoryAnswer
import java.nio.file.Path
import java.util.UUID

private val JSON = Json { prettyPrint = true }

/** Returns the `config` group of commands. */
internal fun configCommand(): CommandGroup =
    CommandGroup(
        "config",
        "Checks, shows and changes the configuration",
        ConfigCheckCommand(),
        ConfigShowCommand(),
        ConfigDiffCommand(),
        ConfigApplyCommand(),
        ConfigHistoryCommand(),
    )

@OptIn(ExperimentalCli::class)
private class ConfigCheckCommand : Subcommand("check", "Validates configuration files without calling an entry") {
    private val base by option(ArgType.String, "base", description = "Base file").required()
    private val overlays by option(ArgType.String, "overlays", description = "Site overlay files, comma-separated")
        .default("")

    override fun execute() {
        val document = loadConfig(base, overlays)
        println("ok: ${document.entities().size} objects")
    }
}

@OptIn(ExperimentalCli::class)
private class ConfigShowCommand : OperatorsCommand("show", "Prints the configuration in force") {
    override fun execute() {
        val answer = client.config().orExit()
        print(JSON.encodeToString(ConfigAnswer.serializer(), answer)) {
            val lines = answer.entities.map { "${it.kind.label} ${it.name}" }.sorted()
            (listOf("version ${answer.version}") + lines).joinToString("\n")
        }
    }
}

@OptIn(ExperimentalCli::class)
private class ConfigDiffCommand : OperatorsCommand("diff", "Prints the changes that apply would make") {
    private val base by option(ArgType.String, "base", description = "Base file").required()
    private val overlays by option(ArgType.String, "overlays", description = "Site overlay files, comma-separated")
        .default("")

    override fun execute() {
        val diff = diff(client.config().orExit(), loadConfig(base, overlays))
        print(JSON.encodeToString(ConfigDiff.serializer(), diff)) { text(diff) }
    }
}

@OptIn(ExperimentalCli::class)
private class ConfigApplyCommand : OperatorsCommand("apply", "Changes the configuration to match the files") {
    private val base by option(ArgType.String, "base", description = "Base file").required()
    private val overlays by option(ArgType.String, "overlays", description = "Site overlay files, comma-separated")
        .default("")
    private val author by option(ArgType.String, "author", description = "Author of the change").required()
    private val comment by option(ArgType.String, "comment", description = "Why the change is made").default("")
    private val atVersion by option(
        ArgType.Int,
        "at-version",
        description = "Version on which the change is based; default: the newest",
    )

    override fun execute() {
        val wanted = loadConfig(base, overlays)
        val current = client.config().orExit()
        val diff = diff(current, wanted)
        if (diff.isEmpty) {
            print(JSON.encodeToString(ChangeAnswer.serializer(), ChangeAnswer(current.version))) { "nothing to change" }
            return
        }
        val request =
            ChangeRequest(
                baseVersion = atVersion?.toLong() ?: current.version,
                author = author,
                comment = comment,
                puts = diff.puts,
                deletes = diff.deletes,
                nonce = UUID.randomUUID().toString(),
            )
        val answer = client.apply(request).orExit()
        print(JSON.encodeToString(ChangeAnswer.serializer(), answer)) {
            "version ${answer.version}\n${text(diff)}"
        }
    }
}

@OptIn(ExperimentalCli::class)
private class ConfigHistoryCommand : OperatorsCommand("history", "Lists the newest changes with time and author") {
    private val limit by option(ArgType.Int, "limit", description = "Largest number of changes to list")
        .default(DEFAULT_LIMIT)

    override fun execute() {
        val answer = client.history(limit).orExit()
        print(JSON.encodeToString(HistoryAnswer.serializer(), answer)) {
            answer.changes.joinToString("\n", transform = ::line)
        }
    }

    private fun line(change: DirectoryChange): String {
        val time = java.time.Instant.ofEpochMilli(change.acceptedAtMs)
        return "${change.version} $time ${change.author} ${describe(change)}"
    }

    private companion object {
        const val DEFAULT_LIMIT = 20
    }
}

private fun loadConfig(base: String, overlays: String): ConfigDocument {
    val files = overlays.split(',').filter { it.isNotBlank() }.map { Path.of(it) }
    return ConfigFiles.load(Path.of(base), files).orExitInvalid()
}

private fun diff(current: ConfigAnswer, wanted: ConfigDocument): ConfigDiff {
    val change = DirectoryChange(1, author = "", acceptedAtMs = 0, puts = current.entities)
    return ConfigDiff.between(DirectoryState().applyAll(listOf(change)), wanted)
}

private fun text(diff: ConfigDiff): String {
    val puts = diff.puts.map { "put ${it.kind.label} ${it.name}" }
    val deletes = diff.deletes.map { "delete ${it.kind} ${it.name}" }
    return (puts + deletes).ifEmpty { listOf("nothing to change") }.joinToString("\n")
}
