package org.medlarhook.cli.command

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.cli.BuildVersion
import org.medlarhook.core.directory.Workspace

/** Prints the state dump of an entry or a sidecar. */
@OptIn(ExperimentalCli::class)
internal class StateCommand : OperatorsCommand("state", "Prints the state dump of an entry or a sidecar as JSON") {
    override fun execute() {
        val state = client.state().orExit()
        print(state) { state }
    }
}

/** Lists the upstreams in the view of one entry. */
@OptIn(ExperimentalCli::class)
internal class UpstreamsCommand : OperatorsCommand("upstreams", "Lists the upstreams in the view of an entry") {
    override fun execute() {
        val answer = client.raw("/operators/upstreams").orExit()
        print(answer) { answer }
    }
}

/** Prints the usage windows that are frozen, that is, closed to further usage. */
@OptIn(ExperimentalCli::class)
internal class ReportCommand : OperatorsCommand("report", "Prints the frozen usage windows") {
    override fun execute() {
        val answer = client.raw("/operators/usage-windows").orExit()
        print(answer) { answer }
    }
}

/** Lists the workspaces of the configuration in force, with their weights. */
@OptIn(ExperimentalCli::class)
internal class WorkspaceCommand : OperatorsCommand("workspace", "Lists the workspaces and their weights") {
    override fun execute() {
        val workspaces = client.config().orExit().entities.filterIsInstance<Workspace>()
        print(Json.encodeToString(ListSerializer(Workspace.serializer()), workspaces)) {
            workspaces.sortedBy { it.name }.joinToString("\n") { "${it.name} weight ${it.weight}" }
        }
    }
}

/** Prints the program's name and version. */
@OptIn(ExperimentalCli::class)
internal class VersionCommand : Subcommand("version", "Prints the version") {
    override fun execute() {
        println("medlarhook ${BuildVersion.TEXT}")
    }
}
